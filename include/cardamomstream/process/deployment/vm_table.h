/// The other VMs, as their reports tell of them.
#pragma once

#include "cardamomstream/process/deployment/deployment_types.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// A report with the time at which it came.
struct known_vm {
    vm_report report;
    time_point heard_at;
};

/// VMs of the own data centre with their last reports, and one summary of each other data centre. A report
/// is never changed once it was taken, so that readers tell by the pointer whether there is a newer one.
using known_vms = std::vector<std::shared_ptr<const known_vm>>;

/// Calls `action(const vm_report&, const vm_member&, time_point heard_at)` for each VM of which the reports
/// tell; the report says region and data centre of the VM.
template <class Action>
void visit_vms(const known_vms& vms, Action action)
{
    for (const auto& known : vms) {
        const auto& report = known->report;
        if (!report.summary) {
            action(report, vm_member{report.inner, report.entry, report.ready && !report.leaving},
                   known->heard_at);
            continue;
        }
        for (const auto& member : report.summary->members) {
            action(report, member, known->heard_at);
        }
    }
}

/// Number of VMs of which the reports tell.
std::size_t count_vms(const known_vms& vms);

/// Reports that are older than this say nothing of the VM's present state.
inline constexpr std::chrono::milliseconds vm_alive_limit{1'500};

/// After this long without a report a VM no longer counts as a sharer of fleet-wide rights.
inline constexpr std::chrono::seconds vm_forget_limit{30};

/// A data centre of which two VMs tell is believed from one of them until that one is silent for this long.
inline constexpr std::chrono::milliseconds summary_change_limit{700};

/// Decisions on membership; no I/O. Not thread safe.
class vm_table {
public:
    vm_table(vm_name self, data_centre_name data_centre);

    /// Takes a report unless it is older than the one known of the same VM. True when it was taken.
    bool apply(const vm_report& report, time_point now);

    /// An inner address that another VM or the settings named, heard of or not.
    void learn_address(const endpoint& inner);
    void learn_neighbour(const endpoint& inner); ///< one of the own data centre

    /// The last report of a VM of the own data centre; null when none is known.
    std::shared_ptr<const known_vm> find(const vm_name& vm) const;

    /// VMs of the own data centre that are alive, and a summary of each other data centre that is heard.
    known_vms alive(time_point now) const;

    /// VMs of the own data centre that are alive.
    known_vms neighbours(time_point now) const;

    /// Inner addresses of VMs of the own data centre that are not heard.
    std::set<endpoint> silent_neighbours(time_point now) const;

    /// Inner addresses of which nothing is known but that they exist.
    const std::set<endpoint>& unheard() const noexcept { return m_unheard; }

    /// Inner addresses of VMs of a data centre: of those alive in another one by its last summary, none while
    /// it is not heard; and of all that were ever known.
    std::vector<endpoint> alive_in(const data_centre_name& other, time_point now) const;
    const std::set<endpoint>& known_in(const data_centre_name& data_centre) const;

    /// Number of other data centres that are heard.
    std::size_t data_centres_heard(time_point now) const;

    /// Number of VMs that may use fleet-wide rights beside this one: heard within `vm_forget_limit`.
    std::size_t sharers(time_point now) const;
    std::size_t sharers_nearby(time_point now) const; ///< those of the own data centre alone

    /// Number of other VMs that read the store.
    std::size_t store_readers(time_point now) const;

    /// True when the store has failed so many of the VMs that read it that it is not their own connections.
    bool peers_report_store_outage(time_point now) const;

    /// Forgets VMs that have been silent for long; their addresses stay known, so that two parts of a divided
    /// fleet find each other.
    void expire(time_point now);

private:
    using report_pointer = std::shared_ptr<const known_vm>;

    struct other_data_centre {
        std::map<vm_name, report_pointer> told_by;
        vm_name believed; ///< the VM whose summary counts
    };

    struct reader_count {
        std::size_t all = 0;
        std::size_t failing = 0;
    };

    reader_count count_readers(time_point now) const;
    void place(const endpoint& address, const data_centre_name& data_centre);
    static bool is_newer(const report_pointer& known, const vm_report& report);
    bool apply_summary(const vm_report& report, time_point now);
    void choose_summary(other_data_centre& from, const vm_name& told_by, time_point now);

    vm_name m_self;
    data_centre_name m_data_centre;
    std::map<vm_name, report_pointer> m_vms; ///< of the own data centre
    std::map<data_centre_name, other_data_centre> m_others;
    std::unordered_map<endpoint, data_centre_name> m_places; ///< of each address that was heard of
    std::map<data_centre_name, std::set<endpoint>> m_known;  ///< the same by data centre
    std::set<endpoint> m_unheard;                            ///< addresses of which nothing else is known
};

} // namespace cardamomstream
