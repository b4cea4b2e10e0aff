/// Bytes and calls of a client.
#pragma once

#include <atomic>
#include <cstdint>

namespace cardamomstream {

/// Shared by all calls of one client. Thread-safe.
struct call_counters {
    std::atomic<std::uint64_t> sent_bytes = 0;
    std::atomic<std::uint64_t> received_bytes = 0;
    std::atomic<std::uint64_t> calls = 0;
};

} // namespace cardamomstream
