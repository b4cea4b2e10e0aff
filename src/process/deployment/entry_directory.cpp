#include "cardamomstream/process/deployment/entry_directory.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace cardamomstream {

namespace {

constexpr std::size_t max_addresses = 64; ///< that callers take of one answer

/// Number of the host's routes that may be served in the region.
std::ptrdiff_t routes_at_home(const service_plan* plan, const std::string& host, const region_name& region)
{
    if (plan == nullptr) {
        return 0;
    }
    const auto& routes = plan->document().routes;
    return std::count_if(routes.begin(), routes.end(), [&](const plan_route& route) {
        return route.host == host && may_run_in(region, route, nullptr);
    });
}

} // namespace

std::vector<endpoint> entry_addresses(const entry_query& query, const node_settings& self,
                                      const directory_view& known)
{
    std::vector<endpoint> near;
    std::vector<endpoint> here;
    std::map<region_name, std::vector<endpoint>> elsewhere;
    const auto add = [&](const region_name& region, const data_centre_name& data_centre,
                         const endpoint& entry) {
        (region == query.region ? here : elsewhere[region]).push_back(entry);
        if (region == query.region && data_centre == query.data_centre) {
            near.push_back(entry);
        }
    };
    if (known.self_ready && self.entry_listener) {
        add(self.region, self.data_centre, *self.entry_listener);
    }
    visit_vms(known.vms, [&](const vm_report& report, const vm_member& vm, time_point /*heard_at*/) {
        if (vm.ready && vm.entry.port != 0) {
            add(report.region, report.data_centre, vm.entry);
        }
    });
    if (near.size() >= enough_near_vms) {
        here = std::move(near);
    }
    if (here.empty()) {
        std::ptrdiff_t most = 0;
        for (const auto& [data_centre, region] : self.regions) {
            // What is known of the plan tells the best region, whether or not a VM of it has been heard of
            // yet.
            if (!known.settled || elsewhere.contains(region)) {
                most = std::max(most, routes_at_home(known.plan, query.host, region));
            }
        }
        for (const auto& [region, entries] : elsewhere) {
            if (routes_at_home(known.plan, query.host, region) >= most) {
                here.insert(here.end(), entries.begin(), entries.end());
            }
        }
    }
    here.resize(std::min(here.size(), max_addresses));
    return here;
}

} // namespace cardamomstream
