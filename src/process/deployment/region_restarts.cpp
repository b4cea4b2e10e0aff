#include "cardamomstream/process/deployment/region_restarts.h"

#include <algorithm>

namespace cardamomstream {

void region_restarts::update(const known_vms& vms, time_point now)
{
    visit_vms(vms, [&](const vm_report& report, const vm_member& vm, time_point /*received_at*/) {
        if (!vm.ready && vm.entry.port != 0) {
            note_restart(report.region, now);
        }
    });
}

void region_restarts::note_restart(const region_name& region, time_point now)
{
    m_restart_at[region] = now;
}

bool region_restarts::may_return(const region_name& region, time_point now) const
{
    const auto found = m_restart_at.find(region);
    const auto since = found == m_restart_at.end() ? m_started : std::max(m_started, found->second);
    return now - since <= vm_return_time;
}

} // namespace cardamomstream
