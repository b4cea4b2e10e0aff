/// A hash of addresses that is the same at every VM.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <cstdint>

namespace cardamomstream {

/// Unlike `std::hash`, may be compared between processes.
std::uint64_t shared_hash(const endpoint& address);

} // namespace cardamomstream
