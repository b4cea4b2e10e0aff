/// What this VM believes of the load and health of every upstream.
#pragma once

#include "cardamomstream/process/deployment/deployment_types.h"
#include "cardamomstream/process/deployment/vm_table.h"
#include "cardamomstream/request/placing/lateness_table.h"
#include "cardamomstream/request/placing/placing_types.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// Load that one request puts on an upstream, from its sending to its end.
struct sent_request {
    upstream_name upstream;
    lateness_key kind;                    ///< of request, for the lateness of its first event
    std::uint64_t number = 0;             ///< tells it from the other requests of this VM
    std::chrono::milliseconds reading{0}; ///< of its prompt, as predicted
    token_count memory = 0;
    time_point sent_at;
    std::chrono::milliseconds predicted{0};
    std::chrono::milliseconds modelled{0}; ///< the part of `predicted` that follows from known loads
    bool first_event_seen = false;
};

/// Own requests count at once; those of other VMs as they report them. An engine reads prompts in the order
/// in which they came, whatever their urgency, so a prompt waits for all those before it. Not thread safe.
class fleet_load {
public:
    struct unread_prompt {
        std::uint64_t number = 0;
        std::chrono::milliseconds reading{0};
    };

    struct upstream_state {
        upstream_view view;
        std::uint32_t engine_batch = 0; ///< 0: a plain service
        token_count memory_tokens = 0;
        std::uint32_t tokens_per_event = 1;
        upstream_load own;
        upstream_load others;
        std::deque<unread_prompt> unread; ///< sent from here, without a first event, oldest first
        time_point reading_since;         ///< when the engine began with the first of them, as far as known
        std::deque<std::pair<time_point, std::chrono::milliseconds>> hops; ///< passed on, in no report yet
        std::unordered_map<std::uint64_t, time_point> cached_parts;
        std::deque<time_point> cold_sends;
        double failure_rate = 0;    ///< moving average over sends
        std::uint64_t outcomes = 0; ///< sends that the average is made of
        std::uint32_t failures_in_row = 0;
        std::uint32_t unreached_in_row = 0; ///< sends that got no connection
        time_point next_trial;              ///< no connection is tried before, not even for want of others
        time_point suspected_until;
        time_point heard_at;   ///< last byte from it
        time_point full_until; ///< it has rejected a request for lack of room
    };

    explicit fleet_load(placing_settings settings);

    void set_deployment(const deployment_view& deployment);

    /// Replaces what the other VMs have reported.
    void set_reports(const known_vms& vms);

    /// Begins to count a request at an upstream of the own region.
    sent_request begin(const upstream_name& upstream, const placing_request& request,
                       std::chrono::milliseconds predicted, time_point now);
    void first_event(sent_request& sent, time_point now);
    void end(sent_request& sent, send_outcome outcome, time_point now);

    /// Counts a request that was passed on to another region until that region's reports tell of it.
    void passed_on(const upstream_name& upstream, const placing_request& request, time_point now);

    void heard(const upstream_name& upstream, time_point now);

    /// True when the upstream owes answers and has been silent for longer than `limit`.
    bool is_silent(const upstream_state& state, time_point now, std::chrono::milliseconds limit) const;

    const upstream_state* find(const upstream_name& upstream) const;
    const std::unordered_map<upstream_name, upstream_state>& all() const noexcept { return m_upstreams; }

    /// Loads of this VM, for its report.
    /// Shared prompt parts are told once.
    std::vector<upstream_load> take_loads(time_point now);

    /// True once after this VM's part of a backlog has grown so much that the others should hear of it soon.
    bool take_report_due();

    /// Factor by which first events come later than predicted; a moving average.
    double prediction_scale() const noexcept { return m_scale; }

    std::uint32_t running(const upstream_state& state, time_point now) const;

    /// Takes how late first bytes were at another VM, once for each report.
    void learn_lateness(const known_vm& vm);

    /// How late first bytes were here since the last call.
    std::vector<lateness_sample> take_lateness();

    /// Time by which the first byte of a request is expected later than the known loads explain; never
    /// negative.
    std::chrono::milliseconds lateness(const placing_request& request, const region_name& region,
                                       time_point now) const;

    /// Time until an engine has read the prompts that were sent to it before.
    std::chrono::milliseconds reading_left(const upstream_state& state, time_point now) const;

    /// Longest pause between two events of the streams at an engine while it reads the request's prompt.
    std::chrono::milliseconds event_gap(const upstream_state& state, const placing_request& request) const;

    /// Tokens at the beginning of the request's prompt that the engine has read lately.
    token_count cached_tokens(const upstream_state& state, const placing_request& request,
                              time_point now) const;

    /// Time in which the engine reads what it has not cached of the request's prompt.
    std::chrono::milliseconds reading_time(const upstream_state& state, const placing_request& request,
                                           time_point now) const;

private:
    void note_failure(upstream_state& state, time_point now, bool unreachable);
    static void note_sign_of_life(upstream_state& state, time_point now);
    void forget_prompt(upstream_state& state, std::uint64_t number, time_point now);
    std::chrono::milliseconds own_reading_left(const upstream_state& state, time_point now) const;

    placing_settings m_settings;
    void count_loads(const known_vm& vm);
    void discount_loads(const known_vm& vm);
    void sample_lateness(const sent_request& sent, time_point now);

    std::unordered_map<upstream_name, upstream_state> m_upstreams;
    std::unordered_map<vm_name, std::shared_ptr<const known_vm>>
        m_counted; ///< reports whose loads are in `others`
    lateness_table m_lateness;
    double m_scale = 1;
    std::uint64_t m_last_number = 0;
    std::chrono::milliseconds m_unreported{0}; ///< reading time sent since the last report
};

} // namespace cardamomstream
