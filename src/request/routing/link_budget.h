/// Rate limit of the requests that this router forwards from its region to another.
#pragma once

#include "cardamomstream/core/boot_clock.h"

#include <chrono>

namespace cardamomstream {

/// Token bucket with a capacity of one second of its rate, but of at least one request.
class link_budget {
public:
    /// The bucket starts empty, so that a restart of the VM does not add to the link's load.
    void set_rate(double requests_per_second, time_point now);
    bool try_take(time_point now);
    /// Time until one request may be sent, at most `max_wait`.
    std::chrono::milliseconds time_until_request(std::chrono::milliseconds max_wait, time_point now) const;

private:
    double level_at(time_point now) const;

    double m_rate = 0;
    double m_level = 0;
    time_point m_filled_at;
};

} // namespace cardamomstream
