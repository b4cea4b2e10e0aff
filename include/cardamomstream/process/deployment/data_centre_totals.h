/// Totals over the reports of one data centre's VMs, for the summaries sent to other data centres.
#pragma once

#include "cardamomstream/process/deployment/vm_table.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cardamomstream {

/// Aggregates reports per data centre: in a large fleet, reports from every VM to every other one would
/// cost more than the requests. Counters are accumulated as differences between successive reports, so that
/// the totals don't drop when a VM stops or restarts. Not thread-safe.
class data_centre_totals {
public:
    /// Adds a report; `previous` is the last one of the same VM, null if there is none.
    void add(const vm_report& report, const vm_report* previous);

    /// Fills in the totals of a summary. `alive` holds the last reports of the live VMs, including this
    /// VM's own.
    void fill_summary(vm_report& summary, const std::vector<const vm_report*>& alive) const;

    /// Adds prompt parts and lateness, which are reported once, to a summary that is filled in.
    void move_recent_to(vm_report& summary);

    /// Discards prompt parts and lateness while another VM sends the summaries of this data centre.
    void discard_recent();

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
