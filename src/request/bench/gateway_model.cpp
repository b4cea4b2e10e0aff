#include "gateway_model.h"

#include <algorithm>

namespace cardamomstream::bench {

namespace {

constexpr int max_attempts = 3;

router_settings settings_of(policy chosen)
{
    router_settings settings;
    settings.affinity = chosen != policy::no_affinity;
    settings.send_away = chosen != policy::no_send_away;
    return settings;
}

customer_name customer_of(const call& request)
{
    return customer_name{"customer-" + std::to_string(request.customer)};
}

std::size_t index_of(const upstream_name& upstream)
{
    return std::stoul(upstream.str());
}

} // namespace

upstream_name worker_name(std::size_t index)
{
    return upstream_name{std::to_string(index)};
}

gateway_model::gateway_model(fleet& shared, std::size_t region, policy chosen)
    : m_shared(shared)
    , m_region(region)
    , m_policy(chosen)
    , m_router(shared.regions[region], settings_of(chosen))
{
}

void gateway_model::publish(const routing_view& view)
{
    m_view = view;
    std::erase_if(m_view.peers,
                  [&](const peer_vm& peer) { return peer.region == m_shared.regions[m_region]; });
    m_router.update(m_view, m_shared.time.now());
    for (std::size_t i = 0; i < m_shared.workers.size(); ++i) {
        const auto& shape = m_shared.workers[i]->shape();
        if (shape.region != m_region) {
            continue;
        }
        if (!view.list->upstreams.contains(worker_name(i))) {
            m_gate.close(worker_name(i));
            continue;
        }
        m_gate.open(worker_name(i), m_router.open_slots(worker_name(i), m_shared.time.now()));
        m_router.set_limit(worker_name(i), m_gate.limit(worker_name(i)));
    }
    for (const auto& expired : m_queue.take_expired(m_shared.time.now())) {
        refuse(m_waiting.extract(expired.request.id.str()).mapped());
    }
    dispatch();
}

void gateway_model::receive(const call& request)
{
    if (m_policy == policy::random || m_policy == policy::least_loaded) {
        receive_by_baseline(request);
        return;
    }
    if (request.attempts == 0) {
        m_retries.on_request();
    }
    const auto query = query_for(request);
    const auto choice = m_router.choose(query, m_shared.time.now(), m_shared.random);
    if (!choice) {
        refuse(request);
        return;
    }
    const bool must_queue = !m_queue.empty() && choice.value().action == route_action::serve;
    if (must_queue || choice.value().action == route_action::wait) {
        enqueue(request);
        dispatch();
        return;
    }
    if (choice.value().action == route_action::serve && !m_gate.try_acquire(choice.value().upstream)) {
        enqueue(request);
        return;
    }
    execute(request, choice.value(), query);
}

void gateway_model::receive_by_baseline(const call& request)
{
    const auto index = baseline_worker();
    if (!index || request.attempts >= max_attempts) {
        refuse(request);
        return;
    }
    auto again = request;
    ++again.attempts;
    m_shared.workers[*index]->submit(request, {[=, this] { record_served(request, m_shared.time.now()); },
                                               [] {}, [=, this] { receive_by_baseline(again); }});
}

std::optional<std::size_t> gateway_model::baseline_worker()
{
    std::vector<std::size_t> listed;
    for (const auto& [name, upstream] : m_view.list->upstreams) {
        if (upstream.region == m_shared.regions[m_region]) {
            listed.push_back(index_of(name));
        }
    }
    if (listed.empty()) {
        return std::nullopt;
    }
    std::shuffle(listed.begin(), listed.end(), m_shared.random);
    if (m_policy == policy::random) {
        return listed.front();
    }
    const auto published = [&](std::size_t index) {
        return m_view.upstream_loads[worker_name(index)].in_flight;
    };
    return *std::min_element(listed.begin(), listed.end(), [&](std::size_t left, std::size_t right) {
        return published(left) < published(right);
    });
}

route_query gateway_model::query_for(const call& request) const
{
    route_query query;
    query.pool = pool_name{"pool"};
    query.prompt_tokens = request.prompt;
    query.prefix_tokens = request.prefix;
    query.prefix_digest = request.digest;
    query.queue_wait = m_queue.predicted_wait(customer_of(request), m_shared.time.now());
    if (request.home_only) {
        query.permitted = {m_shared.regions[request.home]};
    }
    if (request.forwarded) {
        query.origin = request_origin::peer;
        query.hop_count = 1;
        query.regions_passed = {m_shared.regions[request.home]};
    }
    return query;
}

void gateway_model::enqueue(const call& request)
{
    const auto now = m_shared.time.now();
    const request_id id{std::to_string(m_next_id++)};
    const seconds prefill{static_cast<double>(request.prompt) / worker_shape{}.prefill_rate};
    const auto latest =
        request.arrived + std::chrono::duration_cast<boot_clock::duration>(m_shared.deadline - prefill);
    if (!m_queue.push({id, customer_of(request), request.prompt + request.answer, now, latest}, now)) {
        refuse(request);
        return;
    }
    m_waiting.emplace(id.str(), request);
}

void gateway_model::dispatch()
{
    const auto now = m_shared.time.now();
    const auto pick = [&](const queued_request& queued) -> slot_choice {
        auto query = query_for(m_waiting.at(queued.id.str()));
        query.queue_wait = std::chrono::milliseconds{0}; // it is the next to be dispatched
        const auto choice = m_router.choose(query, now, m_shared.random);
        if (!choice || choice.value().action == route_action::wait) {
            return {choice ? slot_action::wait : slot_action::dequeue, {}};
        }
        m_picked[queued.id.str()] = choice.value();
        const bool here = choice.value().action == route_action::serve;
        return {here ? slot_action::serve : slot_action::dequeue, choice.value().upstream};
    };
    while (true) {
        // One request at a time, so that each start counts in the next choice.
        bool done = false;
        const auto once = [&](const queued_request& queued) {
            return std::exchange(done, true) ? slot_choice{} : pick(queued);
        };
        const auto sent = m_gate.dispatch(m_queue, now, once);
        if (sent.empty()) {
            return;
        }
        const auto request = m_waiting.extract(sent.front().request.id.str()).mapped();
        const auto picked = m_picked.extract(sent.front().request.id.str());
        picked.empty() ? refuse(request) : execute(request, picked.mapped(), query_for(request));
    }
}

void gateway_model::execute(const call& request, const route_choice& choice, const route_query& query)
{
    if (choice.action == route_action::serve) {
        m_hedges.on_request();
        serve(request, choice, query, std::make_shared<attempt_group>());
        return;
    }
    const auto peer = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto* each) {
        return m_shared.regions[each->region()] == choice.region;
    });
    auto forwarded = request;
    forwarded.forwarded = true;
    auto attempt = m_router.started(choice, query, m_shared.time.now());
    m_shared.time.after(m_shared.round_trip / 2, [=] { (*peer)->receive(forwarded); });
    // The model does not return the response over the hop; 5 s stand for its duration.
    m_shared.time.after(seconds{5}, [=, this] { m_router.finished(attempt, m_shared.time.now()); });
}

void gateway_model::serve(const call& request, const route_choice& choice, const route_query& query,
                          const std::shared_ptr<attempt_group>& attempts)
{
    const auto upstream = choice.upstream;
    const auto index = attempts->cancels.size();
    const auto attempt =
        std::make_shared<route_attempt>(m_router.started(choice, query, m_shared.time.now()));
    const auto first_token = [=, this] {
        const auto now = m_shared.time.now();
        m_router.first_byte(*attempt, now);
        const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - attempt->started);
        m_gate.first_byte(upstream, latency, choice.cost.prefill, now);
        m_router.set_limit(upstream, m_gate.limit(upstream));
        attempts->answered = true;
        record_served(request, now);
        for (std::size_t i = 0; i < attempts->cancels.size(); ++i) {
            if (i != index) {
                std::exchange(attempts->cancels[i], [] {})();
            }
        }
    };
    const auto finished = [=, this] {
        m_router.finished(*attempt, m_shared.time.now());
        m_gate.release(upstream);
        attempts->cancels[index] = [] {};
        dispatch();
    };
    const auto failed = [=, this] {
        m_router.failed(*attempt, attempt_failure::reset, m_shared.time.now(), m_shared.random);
        m_gate.release(upstream);
        attempts->cancels[index] = [] {};
        if (--attempts->running == 0 && !attempts->answered) {
            retry(request);
        }
        dispatch();
    };
    ++attempts->running;
    attempts->cancels.emplace_back([] {});
    auto& worker = *m_shared.workers[index_of(upstream)];
    const auto id = worker.submit(request, {first_token, finished, failed});
    attempts->cancels[index] = [=, this, &worker] {
        m_router.failed(*attempt, attempt_failure::cancelled, m_shared.time.now(), m_shared.random);
        m_gate.release(upstream);
        worker.cancel(id);
        dispatch();
    };
    if (m_policy == policy::hedged && index == 0) {
        const auto expected = choice.cost.queue + choice.cost.prefill;
        m_shared.time.after(m_hedges.delay(expected), [=, this] { hedge(request, upstream, attempts); });
    }
}

void gateway_model::hedge(const call& request, const upstream_name& slow,
                          const std::shared_ptr<attempt_group>& attempts)
{
    if (attempts->answered || attempts->running != 1) {
        return;
    }
    auto query = query_for(request);
    query.origin = request_origin::peer; // prevents forwarding to another region
    query.hop_count = 0;
    query.regions_passed.clear();
    query.tried = {slow};
    const auto choice = m_router.choose(query, m_shared.time.now(), m_shared.random);
    const bool serves =
        choice && choice.value().action == route_action::serve && choice.value().upstream != slow;
    if (!serves || !m_hedges.try_hedge(repeat_policy::idempotent)) {
        return;
    }
    if (m_gate.try_acquire(choice.value().upstream)) {
        serve(request, choice.value(), query, attempts);
    }
}

void gateway_model::retry(const call& request)
{
    auto again = request;
    ++again.attempts;
    retry_query query;
    query.attempts_made = static_cast<std::uint32_t>(again.attempts);
    query.deadline = request.arrived + std::chrono::duration_cast<boot_clock::duration>(m_shared.deadline);
    const auto now = m_shared.time.now();
    const auto decision = m_retries.next(query, now, m_shared.random);
    if (decision.verdict != retry_verdict::allowed) {
        refuse(request);
        return;
    }
    m_shared.time.after(decision.at - now, [=, this] { receive(again); });
}

void gateway_model::refuse(const call& request)
{
    m_shared.on_call_end({request, std::nullopt, true, request.forwarded});
}

void gateway_model::record_served(const call& request, time_point at)
{
    const seconds return_trip = request.forwarded ? m_shared.round_trip / 2 : seconds{0};
    m_shared.on_call_end({request, at - request.arrived + return_trip, false, request.forwarded});
}

} // namespace cardamomstream::bench
