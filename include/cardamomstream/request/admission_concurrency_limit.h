/// Adaptive limit on the requests in flight at one upstream.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/request/admission_types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cardamomstream {

/// Increases the limit additively while the latency stays near its minimum and decreases it multiplicatively
/// when the latency shows queueing at the upstream. Requests then wait in this VM's fair queue rather than in
/// the upstream's queue. Not thread safe.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_settings settings);

    /// Records the latency of a first byte. `expected` is the predicted latency of an idle upstream, which
    /// makes long and short prompts comparable. `in_flight` includes this request.
    void sample(std::chrono::microseconds latency, std::chrono::microseconds expected,
                std::uint32_t in_flight, time_point now);

    /// Decreases the limit: the upstream refused a request for load, or timed out.
    void dropped();

    /// Requests that may be in flight now, at least `concurrency_limit_settings::min`.
    std::uint32_t value() const noexcept { return static_cast<std::uint32_t>(m_limit); }

private:
    void track_minimum(double latency_ratio, time_point now);

    concurrency_limit_settings m_settings;
    double m_limit;
    double m_smoothed = 0;         ///< smoothed ratio of latency to expected latency
    double m_minimum = 0;          ///< lowest latency ratio of the current window
    double m_previous_minimum = 0; ///< of the previous window
    std::optional<time_point> m_window_start;
    std::size_t m_samples = 0;
    std::size_t m_last_decrease = 0;
};

} // namespace cardamomstream
