#include "cardamomstream/request/admission_concurrency_limit.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr double smoothing_gain = 0.2;

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_settings settings)
    : m_settings(settings)
    , m_limit(std::clamp(settings.initial, settings.min, settings.max))
{
}

void concurrency_limit::sample(std::chrono::microseconds latency, std::chrono::microseconds expected,
                               std::uint32_t in_flight, time_point now)
{
    const auto baseline = std::max(expected, m_settings.min_expected);
    const double latency_ratio =
        std::chrono::duration<double>{latency} / std::chrono::duration<double>{baseline};
    track_minimum(latency_ratio, now);
    m_smoothed = m_samples == 0 ? latency_ratio : m_smoothed + smoothing_gain * (latency_ratio - m_smoothed);
    ++m_samples;
    const double minimum = std::max(1.0, std::min(m_minimum, m_previous_minimum));
    if (m_smoothed > m_settings.tolerance * minimum) {
        if (m_samples - m_last_decrease >= m_settings.samples_between_decreases) {
            dropped();
        }
        return;
    }
    // Low latency says nothing about a higher limit while the requests in flight do not reach this one.
    if (in_flight + 1 >= value()) {
        m_limit = std::min<double>(m_limit + 1 / m_limit, m_settings.max);
    }
}

void concurrency_limit::dropped()
{
    m_limit = std::max<double>(m_limit * m_settings.decrease_factor, m_settings.min);
    m_last_decrease = m_samples;
}

void concurrency_limit::track_minimum(double latency_ratio, time_point now)
{
    if (!m_window_start) {
        m_window_start = now;
        m_minimum = latency_ratio;
        m_previous_minimum = latency_ratio;
    }
    if (now - *m_window_start >= m_settings.baseline_window) {
        m_window_start = now;
        m_previous_minimum = m_minimum;
        m_minimum = latency_ratio;
    }
    m_minimum = std::min(m_minimum, latency_ratio);
}

} // namespace cardamomstream
