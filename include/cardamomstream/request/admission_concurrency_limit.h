/// Adaptive limit of the requests in flight at one upstream.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/request/admission_types.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cardamomstream {

/// Additive increase while the latency stays near its minimum, multiplicative decrease once it shows
/// queueing at the upstream. Keeps the queue here, where it is fair, and not there. Not thread safe.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_settings settings);

    /// A first byte came after `latency`; `expected` is what an idle upstream would have taken, so that
    /// long and short prompts compare. `in_flight` counts this request too.
    void sample(std::chrono::microseconds latency, std::chrono::microseconds expected,
                std::uint32_t in_flight, time_point now);

    /// The upstream refused for load, or went silent.
    void dropped();

    /// Requests that may be in flight now; at least `concurrency_limit_settings::min`.
    std::uint32_t value() const noexcept { return static_cast<std::uint32_t>(m_limit); }

private:
    void track_minimum(double ratio, time_point now);

    concurrency_limit_settings m_settings;
    double m_limit;
    double m_smoothed = 0;
    double m_minimum = 0;         ///< of the present window
    double m_earlier_minimum = 0; ///< of the window before
    std::optional<time_point> m_window_at;
    std::size_t m_samples = 0;
    std::size_t m_last_decrease = 0;
};

} // namespace cardamomstream
