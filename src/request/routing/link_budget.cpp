#include "link_budget.h"

#include <algorithm>

namespace cardamomstream {

void link_budget::set_rate(double requests_per_second, time_point now)
{
    m_level = level_at(now);
    m_rate = requests_per_second;
    m_filled_at = now;
}

bool link_budget::try_take(time_point now)
{
    const double level = level_at(now);
    if (level < 1) {
        return false;
    }
    m_level = level - 1;
    m_filled_at = now;
    return true;
}

std::chrono::milliseconds link_budget::time_until_request(std::chrono::milliseconds max_wait,
                                                          time_point now) const
{
    const double missing = std::max(0.0, 1 - level_at(now));
    if (m_rate <= 0 || missing / m_rate > std::chrono::duration<double>{max_wait}.count()) {
        return max_wait;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>{missing / m_rate});
}

double link_budget::level_at(time_point now) const
{
    const std::chrono::duration<double> elapsed = now - m_filled_at;
    const double added = std::max(0.0, elapsed.count()) * m_rate;
    return std::min(m_level + added, std::max(1.0, m_rate));
}

} // namespace cardamomstream
