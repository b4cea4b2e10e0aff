/// What the requests of one traffic thread share.
#pragma once

#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/process/decision_log.h"
#include "cardamomstream/process/deployment/node_settings.h"
#include "cardamomstream/request/admission_retry_budget.h"
#include "cardamomstream/request/gateway/gateway_metrics.h"
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
    void set_vms(std::vector<known_vm> vms, std::size_t sharers);

    /// This VM's part of the fleet's budget for further sends to a service.
    retry_budget& retries_of(const pool_name& service);

    /// True once requests can be served: a plan is known and no stop has begun.
    bool ready() const { return deployment && deployment->plan && !stopping; }

    const node_settings& settings;
    http_client& client;
    decision_log& log;
    gateway_metrics& counters;
    std::shared_ptr<const deployment_view> deployment;
    std::vector<known_vm> vms;
    fleet_load load;
    placer placing;
    fleet_quota quota;
    std::mt19937_64 random;
    std::atomic<std::size_t> in_flight = 0; ///< requests being served; read when the process stops
    std::atomic<bool> stopping = false;
    std::function<void()> report_soon; ///< asks for a report to the other VMs before the next is due

private:
    double retry_burst() const;

    std::size_t m_sharers = 0;
    std::unordered_map<pool_name, retry_budget> m_retries;
};

} // namespace cardamomstream
