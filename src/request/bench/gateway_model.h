/// Simulated entry VMs, with one of the compared routing policies.
#pragma once

#include "cardamomstream/request/admission_fair_queue.h"
#include "cardamomstream/request/admission_hedge.h"
#include "cardamomstream/request/admission_retry_budget.h"
#include "cardamomstream/request/admission_slot_gate.h"
#include "cardamomstream/request/routing.h"

#include "fleet_model.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cardamomstream::bench {

enum class policy { random, least_loaded, full, no_affinity, no_send_away, hedged };

/// Outcome of one call; without a first token it was refused or lost.
struct call_result {
    call request;
    std::optional<seconds> first_token;
    bool refused = false;
    bool sent_away = false;
};

/// State shared by the VMs of one simulation: the fleet and the callback for outcomes.
struct fleet {
    virtual_time time;
    std::vector<region_name> regions;
    std::vector<std::unique_ptr<worker_model>> workers;
    std::function<void(call_result)> on_call_end;
    std::mt19937_64 random;
    seconds round_trip{0.16};
    seconds deadline{10};
};

upstream_name worker_name(std::size_t index);

/// One entry VM.
class gateway_model {
public:
    gateway_model(fleet& shared, std::size_t region, policy chosen);

    void set_peers(std::vector<gateway_model*> peers) { m_peers = std::move(peers); }
    void publish(const routing_view& view);
    void receive(const call& request);
    std::size_t queued() const { return m_queue.size(); }
    std::size_t region() const { return m_region; }

private:
    void receive_by_baseline(const call& request);
    std::optional<std::size_t> baseline_worker();
    route_query query_for(const call& request) const;
    void enqueue(const call& request);
    void dispatch();
    void execute(const call& request, const route_choice& choice, const route_query& query);
    /// Attempts of one call; the first token of one cancels the others.
    struct attempt_group {
        bool answered = false;
        std::size_t running = 0;
        std::vector<std::function<void()>> cancels;
    };
    void serve(const call& request, const route_choice& choice, const route_query& query,
               const std::shared_ptr<attempt_group>& attempts);
    void hedge(const call& request, const upstream_name& slow,
               const std::shared_ptr<attempt_group>& attempts);
    void retry(const call& request);
    void refuse(const call& request);
    void record_served(const call& request, time_point at);

    fleet& m_shared;
    std::size_t m_region;
    policy m_policy;
    router m_router;
    fair_queue m_queue{{}};
    slot_gate m_gate{{}};
    retry_budget m_retries{{}};
    hedge_policy m_hedges{{}};
    std::vector<gateway_model*> m_peers;
    routing_view m_view;
    std::map<std::string, call> m_waiting;
    std::map<std::string, route_choice> m_picked;
    std::uint64_t m_next_id = 0;
};

} // namespace cardamomstream::bench
