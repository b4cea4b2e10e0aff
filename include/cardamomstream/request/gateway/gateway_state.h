/// State shared by the requests of one traffic thread.
#pragma once

#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/process/decision_log.h"
#include "cardamomstream/process/deployment/node_settings.h"
#include "cardamomstream/process/deployment/region_restarts.h"
#include "cardamomstream/request/admission_retry_budget.h"
#include "cardamomstream/request/gateway/answer_memory.h"
#include "cardamomstream/request/gateway/gateway_metrics.h"
#include "cardamomstream/request/gateway/serving_times.h"
#include "cardamomstream/request/gateway/upstream_probe.h"
#include "cardamomstream/request/placing/link_monitor.h"
#include "cardamomstream/request/placing/placer.h"
#include "cardamomstream/request/quarantine/prompt_quarantine.h"
#include "cardamomstream/request/quota/fleet_quota.h"
#include "cardamomstream/request/stream_origin/stream_origins.h"

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// A request that is being served.
struct served_request {
    request_id id;
    route_name route;
    time_point read_at;
    bool hop = false; ///< another VM has passed it on
    /// Ends the upstream's run and answers the request, unless its answer has begun.
    std::function<void()> end_unanswered;
};

/// Used on its traffic thread only, except for the atomics.
class gateway_state {
public:
    /// `answer_bytes`: memory for answers that are buffered until they are complete.
    gateway_state(const node_settings& settings, http_client& client, decision_log& log,
                  gateway_metrics& counters, std::uint64_t seed,
                  std::size_t answer_bytes = answer_memory::default_max_bytes);

    /// Applies the current plan and upstreams.
    void set_deployment(std::shared_ptr<const deployment_view> deployment);

    /// Applies the current reports. `sharers`: other VMs that share the fleet-wide limits with this one.
    void set_vms(known_vms vms, std::size_t sharers);

    /// Applies another VM's answer to a query of `origins`.
    void learn_origins(const vm_name& vm, const origin_knowledge& known);

    /// This VM's share of the fleet's retry budget for a service.
    retry_budget& retry_budget_for(const pool_name& service);

    /// Counts a request to a service, which adds to the service's retry budget and raises its limit.
    void count_request(const pool_name& service, time_point now);

    /// Logs which prompt parts and requests are kept away from upstreams, or no longer are, and reports own
    /// findings early. `source`: the VM whose findings led to it.
    void on_quarantine_changes(const std::vector<quarantine_change>& changes, const vm_name& source);

    /// Records that an upstream of the region could not be reached or is silent, and tries others if that may
    /// be this VM's fault.
    void note_link_failure(const upstream_name& upstream);

    /// Looks for links that are lost or back. Call several times a second.
    void tend_links();

    /// Ends of upstreams that this VM has seen, for its report; none while its own links are in doubt.
    std::vector<upstream_end> own_upstream_ends();

    /// True when requests can be served: a plan is known and the process is not stopping.
    bool ready() const { return deployment && deployment->plan && !stopping(); }

    /// True when other VMs have known of something newer from the operator for longer than news usually take,
    /// or nobody has confirmed the plan for as long as a change may take: what this VM's plan doesn't have
    /// may be in theirs.
    bool plan_may_be_outdated(time_point now) const;

    bool stopping() const { return m_stop_deadline.load() != time_point::max(); }

    /// Begins a stop: a request is taken only if even its full time budget ends before the deadline. Until
    /// `strict_from` the usual time of its route decides for a call that may be repeated, and for all
    /// requests while no other VM of the region is ready. May be called on any thread.
    void begin_stop(time_point strict_from, time_point deadline);

    /// True unless the process stops and a request that is read now might be cut by its end.
    bool answers_before_end(const plan_route& route, std::chrono::milliseconds time_left,
                            time_point now) const;

    /// Answers each request of which no byte of an answer has been sent. Called as a stop ends.
    void end_unanswered() const;

    const node_settings& settings;
    http_client& client;
    decision_log& log;
    gateway_metrics& counters;
    std::shared_ptr<const deployment_view> deployment;
    known_vms vms;
    region_restarts restarts{boot_clock::now()};
    fleet_load load;
    link_monitor links;
    placer placing;
    fleet_quota quota;
    prompt_quarantine quarantine;         ///< of prompt parts
    prompt_quarantine request_quarantine; ///< of whole requests
    upstream_probe probe;
    stream_origins origins;
    serving_times times;
    answer_memory held_answers;
    std::mt19937_64 random;
    std::list<served_request> served;
    std::atomic<std::size_t> in_flight = 0;     ///< requests being served; awaited when the process stops
    std::function<void()> request_early_report; ///< sends a report to the other VMs before the next is due
    std::function<void()> request_list_read;    ///< reads the list of upstreams anew; see `origins`
    std::function<void(const service_plan&)> on_plan; ///< called with each plan that comes into force
    time_point list_read_failed_at;                   ///< the last such read without an answer
    std::optional<time_point> plan_behind_since;      ///< empty: no other VM knows of anything newer
    /// When the plan was last known to be the newest; empty: it has just been read for the first time.
    std::optional<time_point> plan_confirmed_at;

private:
    static constexpr std::chrono::milliseconds usual_news_lag{2'000};

    struct service_retries {
        retry_budget budget;
        double recent_requests = 0; ///< decaying sum over about one retry window
        time_point counted_at;
    };

    void try_links_if_due(time_point now);
    void try_links();
    std::vector<endpoint> link_targets(time_point now);
    bool reaches(const endpoint& upstream);

    service_retries& find_or_add_retries(const pool_name& service);
    double retry_burst(double recent_requests) const;
    bool another_vm_ready() const; ///< of the own region

    std::atomic<time_point> m_stop_strict_from = time_point::max();
    std::atomic<time_point> m_stop_deadline = time_point::max();
    std::size_t m_sharers = 0;
    std::unordered_map<pool_name, service_retries> m_retries;
    /// Last report applied of each VM.
    std::unordered_map<vm_name, std::shared_ptr<const known_vm>> m_applied_reports;
};

} // namespace cardamomstream
