/// What the requests of one traffic thread share.
#pragma once

#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/process/decision_log.h"
#include "cardamomstream/process/deployment/node_settings.h"
#include "cardamomstream/request/admission_retry_budget.h"
#include "cardamomstream/request/gateway/answer_memory.h"
#include "cardamomstream/request/gateway/gateway_metrics.h"
#include "cardamomstream/request/gateway/serving_times.h"
#include "cardamomstream/request/placing/placer.h"
#include "cardamomstream/request/quota/fleet_quota.h"

#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// Touched on its traffic thread only, but for the atomics.
class gateway_state {
public:
    gateway_state(const node_settings& settings, http_client& client, decision_log& log,
                  gateway_metrics& counters, std::uint64_t seed);

    void set_deployment(std::shared_ptr<const deployment_view> deployment);

    /// The VMs that report at present, and how many may use fleet-wide rights beside this one.
    void set_vms(known_vms vms, std::size_t sharers);

    /// This VM's part of the fleet's budget for further sends to a service.
    retry_budget& retries_of(const pool_name& service);

    /// Counts a request to a service: it fills the budget, and lets more of it be saved up.
    void count_request(const pool_name& service, time_point now);

    /// True once requests can be served: a plan is known and no stop has begun.
    bool ready() const { return deployment && deployment->plan && !stopping(); }

    bool stopping() const { return stop_deadline.load() != time_point::max(); }

    const node_settings& settings;
    http_client& client;
    decision_log& log;
    gateway_metrics& counters;
    std::shared_ptr<const deployment_view> deployment;
    known_vms vms;
    fleet_load load;
    placer placing;
    fleet_quota quota;
    serving_times times;
    answer_memory held_answers;
    std::mt19937_64 random;
    std::atomic<std::size_t> in_flight = 0; ///< requests being served; read when the process stops
    std::atomic<time_point> stop_deadline =
        time_point::max();                      ///< set once a stop begins: the process ends then
    std::function<void()> request_early_report; ///< asks for a report to the other VMs before the next is due

private:
    struct service_retries {
        retry_budget budget;
        double recent_requests = 0; ///< over about one window of the bounds; older ones fade
        time_point counted_at;
    };

    service_retries& retries_entry(const pool_name& service);
    double retry_burst(double recent_requests) const;

    std::size_t m_sharers = 0;
    std::unordered_map<pool_name, service_retries> m_retries;
    std::unordered_map<vm_name, std::shared_ptr<const known_vm>> m_learnt; ///< last report taken of each
};

} // namespace cardamomstream
