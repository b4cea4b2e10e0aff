#include "cardamomstream/request/admission_service_meter.h"

#include <algorithm>
#include <cmath>

namespace cardamomstream {

namespace {

constexpr std::size_t least_requests = 8; ///< from which a rate is told

} // namespace

service_meter::service_meter(std::chrono::milliseconds memory)
    : m_memory(memory)
{
}

void service_meter::advance(bool busy, time_point now)
{
    if (busy && m_at && now > *m_at) {
        const std::chrono::duration<double> elapsed = now - *m_at;
        const double kept = std::exp(-elapsed / m_memory);
        m_tokens *= kept;
        m_busy = m_busy * kept + elapsed;
    }
    if (!busy) {
        m_requests = 0;
    }
    m_at = now;
}

void service_meter::returned(double tokens)
{
    m_tokens = std::max(0.0, m_tokens - tokens);
    m_requests -= std::min<std::size_t>(m_requests, 1);
}

std::optional<double> service_meter::rate(std::chrono::milliseconds least, bool busy, time_point now) const
{
    const std::chrono::duration<double> running = busy && m_at ? now - *m_at : boot_clock::duration{0};
    const auto total = m_busy + running;
    if (total < least || m_tokens <= 0 || m_requests < least_requests) {
        return std::nullopt;
    }
    return m_tokens / total.count();
}

} // namespace cardamomstream
