#include "cardamomstream/process/deployment/entry_directory.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::size_t max_addresses = 64; ///< that callers take of one answer

/// True when every route of the host may be served in the region.
bool is_home(const service_plan* plan, const std::string& host, const region_name& region)
{
    if (plan == nullptr) {
        return true;
    }
    const auto& routes = plan->document().routes;
    return std::all_of(routes.begin(), routes.end(), [&](const plan_route& route) {
        return route.host != host || may_run_in(region, route, nullptr);
    });
}

} // namespace

std::vector<endpoint> entry_addresses(const entry_question& question, const node_settings& self,
                                      const directory_view& known)
{
    std::vector<endpoint> here;
    std::vector<endpoint> at_home;
    std::vector<endpoint> elsewhere;
    const auto add = [&](const region_name& region, const endpoint& entry) {
        if (region == question.region) {
            here.push_back(entry);
            return;
        }
        (is_home(known.plan, question.host, region) ? at_home : elsewhere).push_back(entry);
    };
    if (known.self_ready && self.entry_listener) {
        add(self.region, *self.entry_listener);
    }
    for (const auto& vm : known.vms) {
        if (vm.report.ready && !vm.report.leaving && vm.report.entry.port != 0) {
            add(vm.report.region, vm.report.entry);
        }
    }
    if (!known.settled) {
        elsewhere.clear();
    }
    auto& chosen = !here.empty() ? here : !at_home.empty() ? at_home : elsewhere;
    chosen.resize(std::min(chosen.size(), max_addresses));
    return chosen;
}

} // namespace cardamomstream
