#include "cardamomstream/process/deployment/entry_directory.h"

#include "cardamomstream/process/deployment/entry_weights.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace cardamomstream {

namespace {

/// A VM with links takes the callers of at most so many VMs, itself included.
constexpr std::size_t most_callers_per_linked_vm = 3;

constexpr std::size_t max_addresses = 64; ///< callers use no more of one answer

/// True if at least one customer may use the route in the region.
bool is_served_in(const region_name& region, const service_plan& plan, const plan_route& route)
{
    if (!plan.has_customers() || route.open_to_all) {
        return may_run_in(region, route, nullptr);
    }
    const auto& customers = plan.document().customers;
    return std::any_of(customers.begin(), customers.end(),
                       [&](const plan_customer& customer) { return may_run_in(region, route, &customer); });
}

/// Number of the host's routes that are served in each region.
std::map<region_name, std::ptrdiff_t> count_served_routes(const service_plan* plan, const std::string& host,
                                                          const node_settings& self)
{
    std::map<region_name, std::ptrdiff_t> counts;
    for (const auto& [data_centre, region] : self.regions) {
        const auto [count, added] = counts.try_emplace(region, 0);
        if (!added || plan == nullptr) {
            continue;
        }
        const auto& routes = plan->document().routes;
        count->second = std::count_if(routes.begin(), routes.end(), [&, &here = region](const auto& route) {
            return route.host == host && is_served_in(here, *plan, route);
        });
    }
    return counts;
}

using entries_by_region = std::map<region_name, std::vector<weighted_entry>>;

/// For a caller whose own region has no ready VM.
std::vector<weighted_entry> entries_elsewhere(const entry_query& query, const node_settings& self,
                                              const directory_view& known, const entries_by_region& regions)
{
    auto counts = count_served_routes(known.plan, canonical_host(query.host), self);
    std::ptrdiff_t most = 0;
    for (const auto& [region, count] : counts) {
        most = std::max(most, count);
    }
    std::ptrdiff_t most_with_vms = 0;
    for (const auto& [region, entries] : regions) {
        most_with_vms = std::max(most_with_vms, counts[region]);
    }
    const bool may_return = std::any_of(counts.begin(), counts.end(), [&](const auto& one) {
        return one.second == most && known.restarts.may_return(one.first, known.now);
    });
    std::vector<weighted_entry> selected;
    // Where none of the host's routes is served, each request would be refused.
    if (most_with_vms < most && (may_return || most_with_vms == 0)) {
        return selected;
    }
    for (const auto& [region, entries] : regions) {
        if (counts[region] == most_with_vms) {
            selected.insert(selected.end(), entries.begin(), entries.end());
        }
    }
    return selected;
}

/// Regions of whose ready VMs enough have their links to the upstreams to take the callers of all.
std::set<region_name> regions_of_linked_vms(const node_settings& self, const directory_view& known)
{
    struct vm_count {
        std::size_t all = 0;
        std::size_t linked = 0;
    };
    std::map<region_name, vm_count> counts;
    const auto count = [&](const region_name& region, bool links_lost) {
        auto& counted = counts[region];
        counted.all += 1;
        counted.linked += links_lost ? 0 : 1;
    };
    if (known.self_ready && self.entry_listener) {
        count(self.region, known.self_links_lost);
    }
    visit_vms(known.vms, [&](const vm_report& report, const vm_member& vm, time_point /*received_at*/) {
        if (vm.ready && vm.entry.port != 0) {
            count(report.region, vm.links_lost);
        }
    });
    std::set<region_name> regions;
    for (const auto& [region, counted] : counts) {
        if (counted.linked * most_callers_per_linked_vm >= counted.all) {
            regions.insert(region);
        }
    }
    return regions;
}

} // namespace

std::vector<endpoint> entry_addresses(const entry_query& query, const node_settings& self,
                                      const directory_view& known)
{
    std::vector<weighted_entry> same_data_centre;
    std::vector<weighted_entry> selected;
    entries_by_region other_regions;
    const auto regions_with_links = regions_of_linked_vms(self, known);
    const auto add = [&](const region_name& region, const data_centre_name& data_centre,
                         const weighted_entry& entry, bool links_lost) {
        if (links_lost && regions_with_links.contains(region)) {
            return;
        }
        (region == query.region ? selected : other_regions[region]).push_back(entry);
        if (region == query.region && data_centre == query.data_centre) {
            same_data_centre.push_back(entry);
        }
    };
    if (known.self_ready && self.entry_listener) {
        add(self.region, self.data_centre,
            {*self.entry_listener, vm_capacity(self.processor_cores, self.link_mbps)}, known.self_links_lost);
    }
    visit_vms(known.vms, [&](const vm_report& report, const vm_member& vm, time_point /*received_at*/) {
        if (vm.ready && vm.entry.port != 0) {
            add(report.region, report.data_centre, {vm.entry, vm.capacity}, vm.links_lost);
        }
    });
    if (same_data_centre.size() >= min_local_vms) {
        selected = std::move(same_data_centre);
    }
    if (selected.empty()) {
        selected = entries_elsewhere(query, self, known, other_regions);
    }
    return weigh_entries(selected, max_addresses);
}

} // namespace cardamomstream
