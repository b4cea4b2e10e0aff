#include "cardamomstream/process/deployment/plan_confirmation.h"

#include <algorithm>

namespace cardamomstream {

void plan_confirmation::record_report(const vm_report& report, version_number plan, store_position known,
                                      time_point now)
{
    constexpr auto part = static_cast<std::size_t>(store_part::operators);
    if (report.known_changes.size() != store_part_count || known < report.known_changes[part]) {
        return;
    }
    if (report.store_answer_age) {
        record_store_answer(now - *report.store_answer_age);
    }
    if (!report.summary) {
        return;
    }
    const auto& members = report.summary->members;
    if (std::none_of(members.begin(), members.end(), [](const vm_member& vm) { return vm.ready; })) {
        forget_data_centre(report.data_centre);
    }
    else if (plan != 0 && report.plan_version == plan) {
        record_data_centre(report.data_centre, report.region, now);
    }
}

void plan_confirmation::record_store_answer(time_point at)
{
    m_store_answered_at = std::max(m_store_answered_at, at);
}

void plan_confirmation::record_data_centre(const data_centre_name& data_centre, const region_name& region,
                                           time_point at)
{
    auto& last = m_data_centres[data_centre];
    last = {region, std::max(last.at, at)};
}

time_point plan_confirmation::confirmed_at(time_point now) const
{
    return std::max(m_store_answered_at, confirmed_by_data_centres(now));
}

time_point plan_confirmation::confirmed_by_data_centres(time_point now) const
{
    if (m_other_regions.empty()) {
        return now;
    }
    auto oldest = now;
    auto missing = m_other_regions;
    for (const auto& [data_centre, last] : m_data_centres) {
        oldest = std::min(oldest, last.at);
        missing.erase(last.region);
    }
    return missing.empty() ? oldest : time_point{};
}

} // namespace cardamomstream
