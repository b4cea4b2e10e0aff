/// Monotonic clock that also counts the time in which the machine was suspended.
#pragma once

#include <chrono>

namespace cardamomstream {

/// Clock for every deadline, lease and loan. `std::chrono::steady_clock` stands still while a VM is
/// suspended, so a process that wakes late would believe that its leases still run.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// The `now` that every decision takes as an argument.
using time_point = boot_clock::time_point;

} // namespace cardamomstream
