#include "cardamomstream/process/deployment/entry_directory.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace cardamomstream {

namespace {

constexpr std::size_t max_addresses = 64; ///< callers use no more of one answer

/// Number of the host's routes that may be served in the region.
std::ptrdiff_t count_allowed_routes(const service_plan* plan, const std::string& host,
                                    const region_name& region)
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
    std::vector<endpoint> same_data_centre;
    std::vector<endpoint> selected;
    std::map<region_name, std::vector<endpoint>> other_regions;
    const auto add = [&](const region_name& region, const data_centre_name& data_centre,
                         const endpoint& entry) {
        (region == query.region ? selected : other_regions[region]).push_back(entry);
        if (region == query.region && data_centre == query.data_centre) {
            same_data_centre.push_back(entry);
        }
    };
    if (known.self_ready && self.entry_listener) {
        add(self.region, self.data_centre, *self.entry_listener);
    }
    visit_vms(known.vms, [&](const vm_report& report, const vm_member& vm, time_point /*received_at*/) {
        if (vm.ready && vm.entry.port != 0) {
            add(report.region, report.data_centre, vm.entry);
        }
    });
    if (same_data_centre.size() >= min_local_vms) {
        selected = std::move(same_data_centre);
    }
    if (selected.empty()) {
        std::ptrdiff_t max_routes = 0;
        for (const auto& [data_centre, region] : self.regions) {
            // Before this VM is settled, the plan alone gives the best regions, whether or not a VM there
            // is known yet.
            if (!known.settled || other_regions.contains(region)) {
                max_routes = std::max(max_routes, count_allowed_routes(known.plan, query.host, region));
            }
        }
        for (const auto& [region, entries] : other_regions) {
            if (count_allowed_routes(known.plan, query.host, region) >= max_routes) {
                selected.insert(selected.end(), entries.begin(), entries.end());
            }
        }
    }
    selected.resize(std::min(selected.size(), max_addresses));
    return selected;
}

} // namespace cardamomstream
