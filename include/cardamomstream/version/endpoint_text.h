/// Text form of an endpoint: an IP number with a port, such as "127.0.0.1:7101" or "[::1]:7101".
#pragma once

#include "cardamomstream/core/core_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace cardamomstream {

/// Reads an endpoint; empty unless the text is an IP number and a port from 1 to 65535. Host names are not
/// resolved. The address comes back in its canonical form, so equal endpoints compare equal.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Writes an endpoint so that `parse_endpoint` reads it back; an IPv6 number stands in brackets.
std::string format_endpoint(const endpoint& value);

} // namespace cardamomstream
