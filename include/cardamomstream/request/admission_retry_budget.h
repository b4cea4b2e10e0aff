/// Retry policy, with a budget that limits retries to a fraction of the traffic.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/request/admission_types.h"

#include <chrono>
#include <random>
#include <string_view>

namespace cardamomstream {

/// Name of a verdict for logs, such as "budget_exhausted".
std::string_view to_text(retry_verdict verdict) noexcept;

/// Token bucket filled by requests, not by time: retries stay below a fraction of the traffic, however many
/// attempts fail. Not thread safe.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings);

    /// Records a first attempt, which adds to the budget.
    void on_request();

    /// Decides on one more attempt and consumes one of the budget if it is allowed and the last one reached
    /// an upstream. Allowed are requests that are idempotent or did not run, before the first byte of a
    /// response and within the deadline.
    retry_decision next(const retry_query& query, time_point now, std::mt19937_64& random);

    /// Sets how many unused retries may accumulate, for a process whose share of the fleet's budget changes.
    void set_burst(double burst);

    /// Retries available now.
    double level() const noexcept { return m_level; }

private:
    std::chrono::microseconds backoff(std::uint32_t attempts_made, std::mt19937_64& random) const;

    retry_settings m_settings;
    double m_level;
};

} // namespace cardamomstream
