/// Which VM tells which others what, and how often.
#pragma once

#include "cardamomstream/process/deployment/data_centre_totals.h"
#include "cardamomstream/process/deployment/vm_table.h"

#include <chrono>
#include <map>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// A datagram and the inner addresses to which it goes.
struct outgoing_report {
    vm_report report;
    std::vector<endpoint> receivers;
};

/// What follows from a report that came in.
struct received_report {
    bool is_new = false; ///< it says something new
    std::vector<outgoing_report> outgoing;
};

/// Who this VM is to the others.
struct vm_identity {
    vm_name vm;
    incarnation process;
    region_name region;
    data_centre_name data_centre;
    endpoint entry;
    endpoint inner;
};

/// Usual time between two reports of a VM to those of its data centre.
inline constexpr std::chrono::milliseconds report_interval{200};

/// Answers for a fleet of hundreds of VMs. The VMs of one data centre report to each other. To each other
/// data centre, two of them send summaries, each to one VM there that passes them on; the four are chosen by
/// rendezvous over who is alive, so the summaries take two ways that share no VM, and none is special. No
/// I/O; not thread safe.
class report_exchange {
public:
    report_exchange(vm_identity self, std::map<data_centre_name, region_name> data_centres);

    /// An address of a VM that may exist.
    void learn_address(const endpoint& inner);

    /// A report that came in.
    received_report receive(const vm_report& report, time_point now);

    /// The own report. `state` holds all that changes from report to report.
    std::vector<outgoing_report> report(vm_report state, time_point now);

    /// To the VMs of the own data centre between two reports, with the figures of the last one.
    outgoing_report announce(vm_report state, time_point now);

    /// Summaries to the other data centres for which this VM speaks; call once each `summary_interval`.
    std::vector<outgoing_report> summarise(time_point now);

    /// Time from one report to the next.
    std::chrono::milliseconds interval() const;

    /// Least time between two reports, however fast the loads change.
    std::chrono::milliseconds min_interval() const;

    std::chrono::milliseconds summary_interval() const;

    void expire(time_point now) { m_vms.expire(now); }
    const vm_table& vms() const noexcept { return m_vms; }
    const vm_identity& self() const noexcept { return m_self; }

private:
    void identify(vm_report& report);
    void add_known_vms(vm_report& report, const data_centre_name& data_centre) const;
    outgoing_report relay(const vm_report& summary, time_point now) const;
    void answer_question(const vm_report& question, time_point now, std::vector<outgoing_report>& out);

    /// Addresses of the own data centre's VMs that may speak for it, this VM among them.
    std::vector<endpoint> speakers_here(time_point now) const;
    /// Where this VM sends its summary for another data centre; none when others speak to that one.
    std::vector<endpoint> receivers_in(const data_centre_name& other, const std::vector<endpoint>& speakers,
                                       time_point now) const;
    vm_report summary_of_here(time_point now);

    vm_identity m_self;
    std::map<data_centre_name, region_name> m_others; ///< all data centres but the own
    vm_table m_vms;
    data_centre_totals m_totals;
    vm_report m_last; ///< the own report, without what is told once
    std::uint64_t m_sequence = 0;
    std::uint64_t m_summaries = 0; ///< calls of `summarise`
    std::size_t m_neighbours = 0;  ///< VMs that were told at the last report
    time_point m_started_at;       ///< of the first report
    time_point m_asked_at;         ///< when unknown and silent VMs were told last
    std::unordered_map<vm_name, time_point> m_answered;
};

} // namespace cardamomstream
