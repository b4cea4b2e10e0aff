/// Text form of tickets and the digest of a request. Pure functions.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/request/ticket_types.h"

#include <string>
#include <string_view>

namespace cardamomstream {

/// Largest ticket text that is read.
inline constexpr std::size_t max_ticket_bytes = 2'048;

/// Computes the MAC and gives the text; sets `value.mac`.
std::string write_ticket(ticket& value, const ticket_key& key);

/// Reads a ticket without checking its MAC. Error: `ticket_refused`, not run.
result<ticket> read_ticket(std::string_view text);

/// Whether the MAC belongs to the content; compares in constant time.
bool has_valid_mac(const ticket& value, const ticket_key& key);

/// Whether two MACs are equal; compares in constant time.
bool is_same_mac(const ticket_mac& left, const ticket_mac& right) noexcept;

/// Digest by which a ticket is bound to one request.
request_digest digest_request(std::string_view method, std::string_view target, std::string_view body);

} // namespace cardamomstream
