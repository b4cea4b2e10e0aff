/// Decides which reports a VM sends, to which other VMs and how often.
#pragma once

#include "cardamomstream/process/deployment/data_centre_totals.h"
#include "cardamomstream/process/deployment/vm_table.h"

#include <chrono>
#include <map>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// A report and the inner addresses to send it to.
struct outgoing_report {
    vm_report report;
    std::vector<endpoint> receivers;
};

/// Result of processing a received report.
struct received_report {
    bool is_new = false; ///< stored as newer than the last one of its sender
    std::vector<outgoing_report> outgoing;
};

/// How this VM identifies itself to the others.
struct vm_identity {
    vm_name vm;
    incarnation process;
    region_name region;
    data_centre_name data_centre;
    endpoint entry;
    endpoint inner;
    std::uint32_t capacity = 0; ///< as in `vm_member`
    double link_mbps = 0;       ///< of the machine, in each direction; 0: unknown
};

/// Usual time between a VM's reports to the other VMs of its data centre.
inline constexpr std::chrono::milliseconds report_interval{200};

/// Keeps the cost of reports low in a fleet of hundreds of VMs. The VMs of one data centre report to each
/// other. Two of them send summaries to each other data centre, each to one VM there, which relays them.
/// All four are selected by rendezvous hashing over the live VMs, so that the summaries take two paths that
/// share no VM, and no VM has a fixed role. Those that relay are selected among the larger machines. No I/O;
/// not thread-safe.
class report_exchange {
public:
    report_exchange(vm_identity self, std::map<data_centre_name, region_name> data_centres);

    /// Adds the inner address of a VM that may exist.
    void learn_address(const endpoint& inner);

    /// Processes a received report.
    received_report receive(const vm_report& report, time_point now);

    /// Creates this VM's next regular report. `state` holds everything that changes between reports.
    std::vector<outgoing_report> report(vm_report state, time_point now);

    /// Creates an extra report to this data centre between two regular ones, with the loads and uses of the
    /// last one.
    outgoing_report announce(vm_report state, time_point now);

    /// Creates an answer to a VM that asks where streams began.
    outgoing_report answer_origin_query(origin_knowledge known, const endpoint& asker);

    /// Creates the summaries that this VM sends to other data centres; call once every `summary_interval`.
    std::vector<outgoing_report> summarise(time_point now);

    /// Creates extra summaries to the other data centres of the region, between two calls of `summarise`.
    /// What is reported once is left to the regular summaries.
    std::vector<outgoing_report> summarise_for_region(time_point now);

    /// Records how many bytes a report to the whole data centre took, over all receivers.
    void record_report_bytes(std::size_t bytes) { m_report_bytes = bytes; }

    /// Time between two regular reports; longer while large ones would fill the machine's link.
    std::chrono::milliseconds interval() const;

    /// Minimum time between two reports, however fast the loads change; the same holds.
    std::chrono::milliseconds min_interval() const;

    std::chrono::milliseconds summary_interval() const;

    void expire(time_point now) { m_vms.expire(now); }
    const vm_table& vms() const noexcept { return m_vms; }
    const vm_identity& self() const noexcept { return m_self; }

private:
    std::chrono::milliseconds interval_of_link() const;
    void set_identity(vm_report& report);
    void add_known_vms(vm_report& report, const data_centre_name& data_centre) const;
    outgoing_report relay(const vm_report& summary, time_point now) const;
    /// A few VMs, others each time, to ask where streams began; empty while it isn't time to ask.
    std::vector<endpoint> select_for_origin_query(const known_vms& neighbours, time_point now);
    void answer_member_query(const vm_report& query, time_point now, std::vector<outgoing_report>& out);

    /// Inner addresses of the VMs that may send this data centre's summaries: those that are not leaving,
    /// or this VM if all are.
    std::vector<endpoint> summary_sender_candidates(time_point now) const;
    /// Receivers of this VM's summary in another data centre; empty when other VMs send to that one.
    std::vector<endpoint> summary_receivers(const data_centre_name& other,
                                            const std::vector<endpoint>& candidates, time_point now) const;
    /// The other data centres that this VM sends summaries to, with their receivers.
    std::map<data_centre_name, std::vector<endpoint>> summary_links(bool other_regions, time_point now) const;
    vm_report make_summary(time_point now);

    vm_identity m_self;
    std::map<data_centre_name, region_name> m_other_data_centres; ///< all but this VM's
    vm_table m_vms;
    data_centre_totals m_totals;
    vm_report m_last_report; ///< this VM's, without the fields that are sent only once
    time_point m_last_report_at;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_summary_rounds = 0; ///< calls of `summarise`
    std::size_t m_neighbour_count = 0;  ///< receivers of the last report
    std::size_t m_report_bytes = 0;     ///< of the last report, over its receivers
    time_point m_started_at;            ///< of the first report
    time_point m_searched_at;           ///< when unidentified and silent VMs were last contacted
    std::unordered_map<vm_name, time_point> m_answered_at;
    std::uint64_t m_origin_queries = 0; ///< since this VM last knew enough
    time_point m_origins_asked_at;
};

} // namespace cardamomstream
