/// When a failed attempt may be tried again, and a budget that keeps retries a fraction of the traffic.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/request/admission_types.h"

#include <chrono>
#include <random>

namespace cardamomstream {

/// A token bucket filled by requests, not by time: retries stay under a fraction of the traffic however
/// many attempts fail. Not thread safe.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings);

    /// A first attempt was made.
    void on_request();

    /// Decides on one more attempt; takes from the budget only when allowed. A request is tried again only
    /// when it is idempotent or nothing of it ran, before the first byte of an answer, inside the deadline.
    retry_decision next(const retry_query& query, time_point now, std::mt19937_64& random);

    /// Sets how many retries may be saved up, for a process whose share of a fleet's budget changes.
    void set_burst(double burst);

    /// Retries that may be made now.
    double level() const noexcept { return m_level; }

private:
    std::chrono::microseconds backoff(std::uint32_t attempts_made, std::mt19937_64& random) const;

    retry_settings m_settings;
    double m_level;
};

} // namespace cardamomstream
