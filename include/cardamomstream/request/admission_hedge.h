/// Hedging: a second attempt of a slow call, in parallel with the first.
#pragma once

#include "cardamomstream/request/admission_types.h"

#include <chrono>

namespace cardamomstream {

/// Settings of `hedge_policy`.
struct hedge_settings {
    double fraction = 0.05;  ///< hedges per request
    double burst = 5;        ///< unused hedges that may accumulate
    double delay_factor = 3; ///< delay of a hedge, as a multiple of the expected time to first byte
    std::chrono::milliseconds min_delay{300};
};

/// Allows hedges of idempotent calls only, up to a fraction of the traffic. Not thread safe.
class hedge_policy {
public:
    explicit hedge_policy(hedge_settings settings);

    /// Records a first attempt, which adds to the budget.
    void on_request();
    /// Time without a first byte after which a call counts as slow.
    std::chrono::microseconds delay(std::chrono::microseconds expected) const;
    /// Returns whether a hedge may run, and consumes one of the budget if so.
    bool try_hedge(repeat_policy repeat);

private:
    hedge_settings m_settings;
    double m_level = 0;
};

} // namespace cardamomstream
