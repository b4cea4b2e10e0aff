#include "cardamomstream/request/admission_service_meter.h"

#include <algorithm>
#include <cmath>

namespace cardamomstream {

namespace {

constexpr std::size_t min_requests_for_rate = 8; ///< fewer give no rate

} // namespace

service_meter::service_meter(std::chrono::milliseconds time_constant)
    : m_time_constant(time_constant)
{
}

void service_meter::advance(bool busy, time_point now)
{
    if (busy && m_at && now > *m_at) {
        const std::chrono::duration<double> elapsed = now - *m_at;
        const double decay = std::exp(-elapsed / m_time_constant);
        m_tokens *= decay;
        m_busy = m_busy * decay + elapsed;
    }
    if (!busy) {
        m_requests = 0;
    }
    m_at = now;
}

void service_meter::undo_served(double tokens)
{
    m_tokens = std::max(0.0, m_tokens - tokens);
    m_requests -= std::min<std::size_t>(m_requests, 1);
}

std::optional<double> service_meter::rate(std::chrono::milliseconds min_busy, bool busy, time_point now) const
{
    const std::chrono::duration<double> unrecorded = busy && m_at ? now - *m_at : boot_clock::duration{0};
    const auto total = m_busy + unrecorded;
    if (total < min_busy || m_tokens <= 0 || m_requests < min_requests_for_rate) {
        return std::nullopt;
    }
    return m_tokens / total.count();
}

} // namespace cardamomstream
