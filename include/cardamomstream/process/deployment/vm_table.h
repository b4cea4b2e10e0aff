/// Table of the other VMs, built from their reports.
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

/// A report and the time at which it was received.
struct known_vm {
    vm_report report;
    time_point received_at;
};

/// The last report of each VM of the own data centre, and one summary of each other data centre. Stored
/// reports are never modified, so that readers detect a newer one by its pointer.
using known_vms = std::vector<std::shared_ptr<const known_vm>>;

/// Calls `action(const vm_report&, const vm_member&, time_point received_at)` for each VM that the reports
/// cover. The report holds the VM's region and data centre.
template <class Action>
void visit_vms(const known_vms& vms, Action action)
{
    for (const auto& known : vms) {
        const auto& report = known->report;
        if (!report.summary) {
            action(report,
                   vm_member{report.inner, report.entry, report.ready && !report.leaving, report.links_lost,
                             report.capacity},
                   known->received_at);
            continue;
        }
        for (const auto& member : report.summary->members) {
            action(report, member, known->received_at);
        }
    }
}

/// Number of VMs that the reports cover.
std::size_t count_vms(const known_vms& vms);

/// A VM whose last report is older than this is not considered alive.
inline constexpr std::chrono::milliseconds vm_alive_timeout{1'500};

/// A VM without a report for this long no longer counts among those that share fleet-wide quotas.
inline constexpr std::chrono::seconds vm_expiry_time{30};

/// Of the two VMs that send summaries of a data centre, one is used until it has been silent for this long.
inline constexpr std::chrono::milliseconds summary_failover_time{700};

/// Tracks the membership of the fleet. No I/O; not thread-safe.
class vm_table {
public:
    vm_table(vm_name self, data_centre_name data_centre);

    /// Stores a report if it is newer than the one known of the same VM. Returns true if it was stored.
    bool apply(const vm_report& report, time_point now);

    /// Adds an inner address that another VM or the settings named.
    void learn_address(const endpoint& inner);
    void learn_neighbour(const endpoint& inner); ///< adds one of the own data centre

    /// The last report of a VM of the own data centre; null when none is known.
    std::shared_ptr<const known_vm> find(const vm_name& vm) const;

    /// Live VMs of the own data centre, and the summary of each other data centre that reports.
    known_vms alive(time_point now) const;

    /// Live VMs of the own data centre.
    known_vms neighbours(time_point now) const;

    /// Known inner addresses of the own data centre that belong to no live VM.
    std::set<endpoint> silent_neighbours(time_point now) const;

    /// Inner addresses of which not even the data centre is known.
    const std::set<endpoint>& unidentified_addresses() const noexcept { return m_unidentified; }

    /// The live VMs of another data centre, by its last summary; empty while it does not report.
    std::vector<vm_member> alive_in(const data_centre_name& other, time_point now) const;

    /// All inner addresses ever known of a data centre.
    const std::set<endpoint>& known_in(const data_centre_name& data_centre) const;

    /// Number of other data centres that report.
    std::size_t reporting_data_centres(time_point now) const;

    /// Number of other VMs that share fleet-wide quotas: those that reported within `vm_expiry_time`.
    std::size_t sharers(time_point now) const;
    std::size_t local_sharers(time_point now) const; ///< those of the own data centre only

    /// Number of other VMs that read the store.
    std::size_t store_readers(time_point now) const;

    /// Returns true when so many readers of the store report that it fails that the cause must be the
    /// store, not their own connections.
    bool peers_report_store_outage(time_point now) const;

    /// Removes VMs that have been silent for `vm_expiry_time`. Their addresses stay known, so that the two
    /// sides of a network partition find each other again.
    void expire(time_point now);

private:
    using report_pointer = std::shared_ptr<const known_vm>;

    struct other_data_centre {
        std::map<vm_name, report_pointer> summaries;
        vm_name selected_sender; ///< the VM whose summary is used
    };

    struct reader_count {
        std::size_t all = 0;
        std::size_t failing = 0;
    };

    reader_count count_readers(time_point now) const;
    void assign_data_centre(const endpoint& address, const data_centre_name& data_centre);
    static bool is_newer(const report_pointer& known, const vm_report& report);
    bool apply_summary(const vm_report& report, time_point now);
    void select_sender(other_data_centre& other, const vm_name& sender, time_point now);

    vm_name m_self;
    data_centre_name m_data_centre;
    std::map<vm_name, report_pointer> m_vms; ///< of the own data centre
    std::map<data_centre_name, other_data_centre> m_others;
    std::unordered_map<endpoint, data_centre_name> m_data_centre_of; ///< of each identified address
    std::map<data_centre_name, std::set<endpoint>> m_addresses;      ///< the same by data centre
    std::set<endpoint> m_unidentified; ///< addresses whose data centre is unknown
};

} // namespace cardamomstream
