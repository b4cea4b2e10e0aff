#include "cardamomstream/request/admission_hedge.h"

#include <algorithm>

namespace cardamomstream {

hedge_policy::hedge_policy(hedge_settings settings)
    : m_settings(settings)
{
}

void hedge_policy::on_request()
{
    m_level = std::min(m_level + m_settings.fraction, m_settings.burst);
}

std::chrono::microseconds hedge_policy::delay(std::chrono::microseconds expected) const
{
    const auto late =
        std::chrono::duration_cast<std::chrono::microseconds>(expected * m_settings.delay_factor);
    return std::max<std::chrono::microseconds>(late, m_settings.min_delay);
}

bool hedge_policy::try_hedge(repeat_policy repeat)
{
    if (repeat != repeat_policy::idempotent || m_level < 1) {
        return false;
    }
    m_level -= 1;
    return true;
}

} // namespace cardamomstream
