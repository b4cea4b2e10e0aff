#include "cardamomstream/process/deployment/plan_confirmation.h"

#include <algorithm>

namespace cardamomstream {

void plan_confirmation::record_store_answer(time_point at)
{
    m_store_answered_at = std::max(m_store_answered_at, at);
}

void plan_confirmation::record_region(const region_name& region, time_point at)
{
    auto& reported_at = m_regions[region];
    reported_at = std::max(reported_at, at);
}

time_point plan_confirmation::confirmed_at(time_point now) const
{
    auto by_regions = now;
    for (const auto& [region, reported_at] : m_regions) {
        by_regions = std::min(by_regions, reported_at);
    }
    return std::max(m_store_answered_at, by_regions);
}

} // namespace cardamomstream
