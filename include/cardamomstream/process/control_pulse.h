/// Sign of life of the control thread towards the traffic threads.
#pragma once

#include "cardamomstream/core/boot_clock.h"

#include <atomic>
#include <chrono>

namespace cardamomstream {

/// A process that was paused finds its pulse old. Traffic then waits until the control thread has looked
/// whether keys and rules have changed meanwhile. Thread-safe.
class control_pulse {
public:
    explicit control_pulse(std::chrono::milliseconds limit)
        : m_limit(limit)
    {
    }

    void beat(time_point now) noexcept { m_last = now.time_since_epoch().count(); }

    bool is_stale(time_point now) const noexcept
    {
        return now.time_since_epoch() - boot_clock::duration{m_last.load()} > m_limit;
    }

private:
    std::chrono::milliseconds m_limit;
    std::atomic<boot_clock::rep> m_last = 0;
};

} // namespace cardamomstream
