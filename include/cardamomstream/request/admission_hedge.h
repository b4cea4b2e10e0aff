/// When a second attempt of a slow call may run beside the first.
#pragma once

#include "cardamomstream/request/admission_types.h"

#include <chrono>

namespace cardamomstream {

/// Settings of hedging.
struct hedge_settings {
    double fraction = 0.05; ///< hedges per request
    double burst = 5;       ///< hedges that may be saved up
    double late_factor = 3; ///< expected times to the first byte before a hedge
    std::chrono::milliseconds least_delay{300};
};

/// Hedges idempotent calls only, within a fraction of the traffic. Not thread safe.
class hedge_policy {
public:
    explicit hedge_policy(hedge_settings settings);

    /// A first attempt was made.
    void on_request();
    /// Time after which a call without a first byte counts as slow.
    std::chrono::microseconds delay(std::chrono::microseconds expected) const;
    /// Takes from the budget where a hedge may run.
    bool try_hedge(repeat_policy repeat);

private:
    hedge_settings m_settings;
    double m_level = 0;
};

} // namespace cardamomstream
