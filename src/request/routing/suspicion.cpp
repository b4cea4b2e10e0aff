#include "suspicion.h"

#include <algorithm>

namespace cardamomstream {

void suspicion::failed(const router_settings& settings, time_point now, std::mt19937_64& random)
{
    constexpr std::uint32_t max_doublings = 16;
    const auto doublings = std::min(m_failures, max_doublings);
    const auto max_backoff =
        std::min(settings.suspicion_base * (std::int64_t{1} << doublings), settings.suspicion_max);
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    m_probe_at = now + std::chrono::duration_cast<boot_clock::duration>(max_backoff * jitter(random));
    m_last_failure = now;
    m_probe_started.reset();
    ++m_failures;
}

bool suspicion::probe_due(const router_settings& settings, time_point now) const
{
    if (!active() || now < m_probe_at) {
        return false;
    }
    return !m_probe_started || now - *m_probe_started >= settings.suspicion_max;
}

} // namespace cardamomstream
