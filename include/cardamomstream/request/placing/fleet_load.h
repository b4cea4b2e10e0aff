/// Load and health of every upstream, as far as this VM knows them.
#pragma once

#include "cardamomstream/process/deployment/deployment_types.h"
#include "cardamomstream/process/deployment/vm_table.h"
#include "cardamomstream/request/placing/lateness_table.h"
#include "cardamomstream/request/placing/placing_types.h"
#include "cardamomstream/request/placing/upstream_ends.h"
#include "cardamomstream/request/placing/upstream_statements.h"
#include "cardamomstream/request/placing/upstream_work.h"

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// Load that one request puts on an upstream, from when it is sent until it ends.
struct sent_request {
    upstream_name upstream;
    std::int64_t started_unix_ms = 0;     ///< of the upstream's process
    lateness_key lateness_class;          ///< under which the lateness of its first event is recorded
    std::uint64_t number = 0;             ///< unique among the requests of this VM
    std::chrono::milliseconds prefill{0}; ///< predicted prefill time of its prompt
    token_count memory = 0;
    time_point sent_at;
    time_point connected_at; ///< when its connection was made; set with the first bytes of the answer
    std::chrono::milliseconds predicted{0};
    std::chrono::milliseconds predicted_from_load{0}; ///< `predicted` without the expected lateness
    bool first_event_seen = false;
    time_point first_event_at; ///< valid once it is seen
};

/// Requests of this VM count at once, those of other VMs when they are reported. An engine prefills prompts
/// in order of arrival, whatever their urgency, so a prompt waits for all those before it. Not thread safe.
class fleet_load {
public:
    struct pending_prefill {
        std::uint64_t number = 0;
        std::chrono::milliseconds prefill{0};
    };

    struct upstream_state {
        upstream_view view;
        std::uint32_t engine_batch = 0; ///< 0 for a service that is not an inference engine
        token_count memory_tokens = 0;
        std::uint32_t tokens_per_event = 1;
        upstream_load own;
        upstream_load others;
        std::deque<pending_prefill> pending_prefills; ///< sent by this VM, no first event yet; oldest first
        time_point prefill_started_at; ///< when the engine started the first of them, as far as known
        /// Requests passed on to its region that no report includes yet: time and prefill time.
        std::deque<std::pair<time_point, std::chrono::milliseconds>> hops;
        std::unordered_map<std::uint64_t, time_point> cached_parts;
        /// Of this VM, also those from before a restart; without those for which no connection was made.
        std::deque<time_point> recent_sends;
        std::deque<time_point> recent_breaks; ///< of connections with a request of this VM
        double failure_rate = 0;              ///< moving average over the sends
        std::uint64_t outcomes = 0;           ///< number of sends in the average
        std::uint32_t consecutive_failures = 0;
        std::uint32_t consecutive_connect_failures = 0; ///< sends in a row that got no connection
        time_point next_attempt_at; ///< no connection is tried before, even if no other upstream is left
        time_point suspected_until;
        time_point last_active_at;        ///< last byte from it, or when it began to owe an answer
        time_point refused_connection_at; ///< last; the process may have been starting again
        time_point full_until;            ///< set when it rejects a request for lack of capacity
    };

    explicit fleet_load(placing_settings settings);

    void set_deployment(const deployment_view& deployment);

    /// Since when every change of the list of upstreams is known at once; empty while the store can't be
    /// read.
    void set_list_known_since(std::optional<time_point> since) { m_list_known_since = since; }

    /// Replaces the reports of the other VMs.
    void set_reports(const known_vms& vms);

    /// Adds a request that is sent to an upstream of this VM's region.
    sent_request begin_request(const upstream_name& upstream, const placing_request& request,
                               std::chrono::milliseconds predicted, time_point now);
    void on_first_event(sent_request& sent, time_point now);
    void end_request(sent_request& sent, send_outcome outcome, time_point now);

    /// Counts a request that was passed on to another region until that region's reports include it.
    void record_hop(const upstream_name& upstream, const placing_request& request, time_point now);

    /// Records that the upstream owes this request an answer and has fallen silent. Call once for each send.
    void record_silence(const sent_request& sent, time_point now);

    /// Records that bytes of the answer came from the upstream.
    void record_activity(const sent_request& sent, time_point now);

    /// Records that the request is written to its connection only now: a new connection takes time.
    void record_write(const sent_request& sent, time_point now);

    /// True when another process of the upstream is listed than the one that was when the request was sent.
    bool has_restarted(const sent_request& sent) const;

    /// True when the process that got the request has ended, as its entry shows.
    bool has_lost_run(const sent_request& sent) const
    {
        return has_restarted(sent) &&
               !m_ends.was_sent_to_successor(sent.upstream, sent.sent_at, sent.started_unix_ms,
                                             find(sent.upstream)->view.record.started_unix_ms);
    }

    // Statements count also while the upstream is not listed, unless it has restarted since the send.

    /// Records the limit that an answer states. Returns true when the upstream's limit changed.
    bool record_limit(const sent_request& sent, const limit_statement& statement, time_point now);

    /// Records that an answer says that its upstream is leaving. Returns true when this is new.
    bool record_leaving(const sent_request& sent, time_point now);

    /// Records the pause that an answer asks for, or that it asks for none.
    void record_pause(const sent_request& sent, std::optional<std::chrono::milliseconds> pause,
                      time_point now);

    /// Applies the limits that upstreams stated to another VM. Call once for each report.
    void apply_reported_limits(const known_vm& vm);

    /// Limits that upstreams stated to this VM, for its report.
    std::vector<stated_limit> own_limits(time_point now) { return m_statements.own_limits(now); }

    /// Records the load that an answer states.
    load_news record_load(const sent_request& sent, const load_statement& statement, time_point now);

    /// Applies how long work takes at upstreams, as stated to another VM. Call once for each report.
    void apply_reported_works(const known_vm& vm) { m_work.apply_reported(vm.report.works, vm.received_at); }

    /// How long work takes at upstreams, as stated to this VM, for its report.
    std::vector<stated_work> own_works(time_point now)
    {
        m_work.expire(now);
        return m_work.own(now);
    }

    /// True once an upstream of the service has stated how long work takes: then its upstreams share
    /// machines.
    bool states_work(const pool_name& service) const { return m_services_stating_work.contains(service); }

    /// Factor by which work takes longer than usual at the upstream; at least 1.
    double work_factor(const upstream_state& state, time_point now) const
    {
        return m_work.factor(state.view.record.id, now);
    }

    /// Mean time from the first event of a stream of the service to its end, as this VM's streams show it.
    std::chrono::milliseconds run_time(const pool_name& service) const;

    const upstream_statements& statements() const noexcept { return m_statements; }

    /// Records that the upstream takes no connections because its process has ended.
    void record_process_end(const upstream_name& upstream, time_point now);

    /// Records that no connection for the request can be made. Returns true when this is new to the other
    /// VMs.
    bool record_no_process(const sent_request& sent, time_point now);

    /// Records that the connection of a request broke.
    void record_break(const sent_request& sent, time_point now);

    /// Call for a connection that broke at `broke_at`, when the upstream takes new ones. Returns true when
    /// all connections to this upstream alone broke together, so that its process must have ended, and this
    /// is new to the other VMs. `idle_open`: whether one that carried no request is still open; empty: there
    /// was none.
    bool record_common_break(const sent_request& sent, std::optional<bool> idle_open, time_point broke_at);

    /// True while the upstream is known to be cold, or may have started without its entry being known.
    /// `cold_time`: for which a process of its service can be cold.
    bool may_be_cold(const upstream_state& state, std::chrono::milliseconds cold_time, time_point now) const;

    /// Sets whether this VM's links to its region's upstreams are lost. What its requests have met until then
    /// says nothing of the upstreams, and what is sent without links is no load on them.
    /// `others_linked`: other VMs of the region had theirs meanwhile, so that the upstreams ran.
    void set_links_lost(bool lost, bool others_linked, time_point now);

    bool links_lost() const noexcept { return m_links_lost; }

    /// True when bytes of an answer have come from an upstream since then.
    bool has_answered_since(time_point at) const { return m_last_byte_at >= at; }

    /// Upstreams of the region with requests of this VM, from which nothing has come for `limit`; empty when
    /// something has come from another one.
    std::vector<upstream_name> all_silent(const region_name& region, std::chrono::milliseconds limit,
                                          time_point now) const;

    /// Applies the ends of upstreams that another VM has seen. Call once for each report.
    void apply_reported_ends(const known_vm& vm);

    /// Ends of upstreams that this VM has seen, for its report.
    std::vector<upstream_end> own_ends(time_point now) { return m_ends.own_ends(now); }

    /// Version of the upstream's software. Empty while its process may have started again without its new
    /// entry being known, as long as the list isn't known either.
    std::optional<std::string> version_of(const upstream_state& state, time_point now) const;

    /// True when requests run at the upstream and it has sent nothing for longer than `limit`.
    bool is_silent(const upstream_state& state, time_point now, std::chrono::milliseconds limit) const;

    const upstream_state* find(const upstream_name& upstream) const;
    const std::unordered_map<upstream_name, upstream_state>& all() const noexcept { return m_upstreams; }

    /// Loads that this VM has put on the upstreams, for its report. Each shared prompt part is reported once.
    std::vector<upstream_load> take_loads(time_point now);

    /// True once when the load sent since the last report is so large that the next report should not wait.
    bool take_early_report_due();

    /// Engine memory that the requests at the upstream may use, those of other VMs included.
    token_count memory(const upstream_state& state) const;

    /// Moving average of the factor by which first events come later than predicted.
    double prediction_scale() const noexcept { return m_prediction_scale; }

    /// Requests that run at the upstream, those of other VMs included.
    std::uint32_t running(const upstream_state& state, time_point now) const;

    /// Adds the lateness that another VM has measured. Call once for each report.
    void add_reported_lateness(const known_vm& vm);

    /// Lateness of first bytes that this VM has measured since the last call.
    std::vector<lateness_sample> take_lateness();

    /// Expected delay of a request's first byte beyond what the known loads explain; never negative.
    std::chrono::milliseconds lateness(const placing_request& request, const region_name& region,
                                       time_point now) const;

    /// Time until the engine has prefilled the prompts that were sent to it before.
    std::chrono::milliseconds prefill_left(const upstream_state& state, time_point now) const;

    /// Longest gap between two events of an engine's streams while it prefills the request's prompt.
    std::chrono::milliseconds event_gap(const upstream_state& state, const placing_request& request) const;

    /// The same where upstreams state how long work takes: while the engine prefills for `prefill`, and work
    /// takes `work` times as long as usual.
    std::chrono::milliseconds event_gap_during(const upstream_state& state,
                                               std::chrono::duration<double, std::milli> prefill,
                                               double work) const;

    /// Length of the prompt's prefix that is expected in the engine's cache.
    token_count cached_tokens(const upstream_state& state, const placing_request& request,
                              time_point now) const;

    /// Time in which the engine prefills the uncached part of the request's prompt.
    std::chrono::milliseconds prefill_time(const upstream_state& state, const placing_request& request,
                                           time_point now) const;

private:
    /// State of the process that was listed when the request was sent; null when it isn't listed any more.
    upstream_state* state_of(const sent_request& sent);
    static void count_outcome(upstream_state& state, bool failure);
    void record_failure(upstream_state& state, time_point now, bool unreachable);
    static void mark_active(upstream_state& state, time_point now);
    void remove_pending_prefill(upstream_state& state, std::uint64_t number, time_point now);
    std::chrono::milliseconds own_prefill_left(const upstream_state& state, time_point now) const;

    placing_settings m_settings;
    void add_loads(const known_vm& vm);
    void subtract_loads(const known_vm& vm);
    void sample_lateness(const sent_request& sent, time_point now);

    std::unordered_map<upstream_name, upstream_state> m_upstreams;
    /// Recent sends to upstreams that are not listed now; they count if one is listed again.
    std::unordered_map<upstream_name, std::deque<time_point>> m_unlisted_sends;
    /// Reports whose loads are included in `others`.
    std::unordered_map<vm_name, std::shared_ptr<const known_vm>> m_counted_reports;
    lateness_table m_lateness;
    upstream_statements m_statements;
    upstream_ends m_ends;
    upstream_work m_work;
    std::set<pool_name> m_services_stating_work;
    std::set<upstream_name> m_unreadable_loads; ///< upstreams of which one was logged
    std::unordered_map<pool_name, std::chrono::duration<double, std::milli>> m_run_times;
    double m_prediction_scale = 1;
    std::optional<time_point> m_list_known_since = time_point{};
    std::uint64_t m_last_number = 0;
    std::chrono::milliseconds m_unreported_prefill{0}; ///< prefill time sent since the last report
    bool m_links_lost = false;
    time_point m_links_lost_at;
    time_point m_links_back_at;
    time_point m_last_byte_at; ///< from any upstream
};

} // namespace cardamomstream
