/// This router's part of what may be sent from its region to another.
#pragma once

#include "cardamomstream/core/boot_clock.h"

#include <chrono>

namespace cardamomstream {

/// Token bucket that holds about a second of its rate, and one request at least.
class link_budget {
public:
    /// Starts empty, so that restarts of a VM don't add to the link's load.
    void set_rate(double requests_per_second, time_point now);
    bool try_take(time_point now);
    /// Time until one request may be sent; `longest` where the rate is zero.
    std::chrono::milliseconds wait(std::chrono::milliseconds longest, time_point now) const;

private:
    double level_at(time_point now) const;

    double m_rate = 0;
    double m_level = 0;
    time_point m_filled_at;
};

} // namespace cardamomstream
