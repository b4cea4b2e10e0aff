/// Addresses, deadlines and durations as gRPC wants them.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <string>

#include <grpc/support/time.h>

namespace cardamomstream {

/// Address of a listener.
std::string host_and_port(const endpoint& address);

/// Target of a channel; no name service is asked.
std::string target_of(const endpoint& address);

/// Monotonic, so that it holds when the wall clock is set.
gpr_timespec deadline_after(std::chrono::milliseconds limit);

/// Value of a channel argument.
int count_of(std::chrono::milliseconds value);

} // namespace cardamomstream
