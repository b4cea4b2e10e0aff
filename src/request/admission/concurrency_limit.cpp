#include "cardamomstream/request/admission_concurrency_limit.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr double smoothing = 0.2;

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_settings settings)
    : m_settings(settings)
    , m_limit(std::clamp(settings.initial, settings.min, settings.max))
{
}

void concurrency_limit::sample(std::chrono::microseconds latency, std::chrono::microseconds expected,
                               std::uint32_t in_flight, time_point now)
{
    const auto base = std::max(expected, m_settings.least_expected);
    const double ratio = std::chrono::duration<double>{latency} / std::chrono::duration<double>{base};
    track_minimum(ratio, now);
    m_smoothed = m_samples == 0 ? ratio : m_smoothed + smoothing * (ratio - m_smoothed);
    ++m_samples;
    const double minimum = std::max(1.0, std::min(m_minimum, m_earlier_minimum));
    if (m_smoothed > m_settings.tolerance * minimum) {
        if (m_samples - m_last_decrease >= m_settings.samples_wait) {
            dropped();
        }
        return;
    }
    // A limit that is not reached says nothing about what the upstream can take.
    if (in_flight + 1 >= value()) {
        m_limit = std::min<double>(m_limit + 1 / m_limit, m_settings.max);
    }
}

void concurrency_limit::dropped()
{
    m_limit = std::max<double>(m_limit * m_settings.decrease, m_settings.min);
    m_last_decrease = m_samples;
}

void concurrency_limit::track_minimum(double ratio, time_point now)
{
    if (!m_window_at) {
        m_window_at = now;
        m_minimum = ratio;
        m_earlier_minimum = ratio;
    }
    if (now - *m_window_at >= m_settings.min_memory) {
        m_window_at = now;
        m_earlier_minimum = m_minimum;
        m_minimum = ratio;
    }
    m_minimum = std::min(m_minimum, ratio);
}

} // namespace cardamomstream
