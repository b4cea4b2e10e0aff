/// Sums over the reports of one data centre's VMs, for the summaries that other data centres get.
#pragma once

#include "cardamomstream/process/deployment/vm_table.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cardamomstream {

/// Answers for a fleet in which the reports of all VMs to all others would cost more than the requests.
/// Counters are summed by difference from report to report, so that a VM which ends or starts anew takes
/// nothing from the sums. Not thread safe.
class data_centre_totals {
public:
    /// Counts a report; `before` is the last one of the same VM, null when there is none.
    void add(const vm_report& report, const vm_report* before);

    /// Fills the sums of a summary. `alive` are the last reports of the VMs that count, that of the VM which
    /// tells among them. Prompt parts and lateness are told once.
    void fill(vm_report& summary, const std::vector<const vm_report*>& alive);

    /// Drops what would be told once, while another VM speaks for the data centre.
    void forget_recent();

private:
    struct lateness_sum {
        double ms = 0;
        std::uint32_t samples = 0;
    };

    std::map<customer_name, double> m_admitted;
    std::map<upstream_name, std::vector<std::uint64_t>> m_new_parts; ///< since the last summary
    std::map<std::pair<pool_name, int>, lateness_sum> m_lateness;    ///< since the last summary
};

} // namespace cardamomstream
