/// Conversion of typed errors.
#pragma once

#include "cardamomstream/core/error.h"

#include "peer_messages.h"

namespace cardamomstream {

wire::Error encode(const error& value);

/// A code of another release becomes `internal`.
error decode(const wire::Error& from);

} // namespace cardamomstream
