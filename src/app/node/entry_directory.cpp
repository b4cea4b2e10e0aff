#include "entry_directory.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::size_t max_addresses = 64; ///< that callers take of one answer

} // namespace

std::vector<endpoint> entry_addresses(const region_name& region, const node_settings& self,
                                      const std::vector<known_vm>& vms, bool self_ready)
{
    std::vector<endpoint> here;
    std::vector<endpoint> elsewhere;
    if (self_ready && self.entry_listener) {
        (self.region == region ? here : elsewhere).push_back(*self.entry_listener);
    }
    for (const auto& vm : vms) {
        if (vm.report.ready && !vm.report.leaving && vm.report.entry.port != 0) {
            (vm.report.region == region ? here : elsewhere).push_back(vm.report.entry);
        }
    }
    auto& chosen = here.empty() ? elsewhere : here;
    chosen.resize(std::min(chosen.size(), max_addresses));
    return chosen;
}

} // namespace cardamomstream
