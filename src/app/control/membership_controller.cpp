#include "membership_controller.h"

#include "view_publisher.h"

#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds exchange_limit{2'000};

event_kind event_of(member_state state)
{
    switch (state) {
    case member_state::suspected:
        return event_kind::vm_suspected;
    case member_state::leaving:
    case member_state::gone:
        return event_kind::vm_left;
    case member_state::listed:
    case member_state::alive:
        return event_kind::vm_alive;
    }
    return event_kind::vm_alive;
}

} // namespace

void membership_controller::tick()
{
    const auto now = boot_clock::now();
    m_state.members.set_own(own_heartbeat());
    const auto found = m_state.members.tick(now);
    if (found.woke_after_pause) {
        spdlog::warn("process slept milliseconds={}", found.woke_after_pause->count());
        m_configuration.forget_confirmation();
    }
    m_state.parts.pulse.beat(now);
    for (const auto& vm : found.connections_to_try) {
        try_connection(vm);
    }
    for (const auto& target : m_state.members.plan_heartbeats(now, m_state.random)) {
        m_state.thread.spawn([this, target] { send(target); });
    }
    publish_changes();
}

heartbeat membership_controller::own_heartbeat()
{
    const auto now = boot_clock::now();
    heartbeat own;
    const auto summary = m_state.parts.allowance.with_lock([&](allowance_book& book) {
        own.applied_version = book.applied_version(now);
        return book.summarise(now);
    });
    own.confirmed_age = m_state.versions.age(now).value_or(std::chrono::hours{24});
    own.leaving = m_state.parts.stopping;
    own.successor = m_successor;
    for (const auto& [pool, figures] : m_state.parts.dispatch.stats()) {
        pool_load load;
        load.in_flight = static_cast<std::uint32_t>(figures.own.in_flight);
        load.queued = static_cast<std::uint32_t>(figures.queued);
        load.slots = static_cast<std::uint32_t>(figures.own.slots);
        own.loads[pool] = load;
    }
    for (const auto& customer : summary.customers) {
        allowance_report report;
        report.customer = customer.customer;
        report.spare_rate = customer.spare.rate;
        report.spare_burst = customer.spare.burst;
        report.spare_level = static_cast<token_count>(customer.spare.level);
        report.wanted_rate = customer.demand;
        own.allowance.push_back(report);
    }
    return own;
}

void membership_controller::send(const heartbeat_target& target)
{
    const peer_address peer{target.vm, target.address};
    const auto started = boot_clock::now();
    const auto reply =
        m_state.parts.peers.exchange(peer, {target.message, m_state.versions.current()}, exchange_limit);
    note_answer(peer, reply,
                std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - started));
}

void membership_controller::try_connection(const vm_name& vm)
{
    const auto* known = m_state.members.find(vm);
    if (known == nullptr || !m_trying.insert(vm).second) {
        return;
    }
    const peer_address peer{vm, known->peer};
    m_state.parts.peers.reset_connection(peer);
    m_state.thread.spawn([this, peer] {
        const auto started = boot_clock::now();
        exchange_request request;
        request.membership.sender = own_heartbeat();
        request.membership.sender.vm = m_state.parts.config.vm;
        request.membership.sender.stamp = m_state.members.own_stamp();
        request.version = m_state.versions.current();
        const auto reply = m_state.parts.peers.exchange(peer, request, exchange_limit);
        const auto now = boot_clock::now();
        if (reply) {
            m_state.members.connection_succeeded(peer.vm, now);
        }
        else {
            m_state.members.connection_failed(peer.vm, now);
        }
        note_answer(peer, reply, std::chrono::duration_cast<std::chrono::milliseconds>(now - started));
        m_trying.erase(peer.vm);
    });
}

void membership_controller::note_answer(const peer_address& peer, const result<exchange_reply>& reply,
                                        std::chrono::milliseconds took)
{
    if (!reply) {
        return;
    }
    if (const auto* known = m_state.members.find(peer.vm)) {
        m_state.round_trips[known->region] = took;
    }
    m_configuration.note_peer(peer, reply.value().version);
}

exchange_reply membership_controller::receive(const vm_name& sender, const exchange_request& request)
{
    const auto now = boot_clock::now();
    const auto& message = request.membership;
    m_state.members.receive(message, sender, now);
    demand_summary summary;
    summary.vm = sender;
    summary.process = message.sender.stamp.process;
    for (const auto& report : message.sender.allowance) {
        customer_demand demand;
        demand.customer = report.customer;
        demand.demand = report.wanted_rate;
        demand.spare = {report.spare_rate, report.spare_burst, static_cast<double>(report.spare_level)};
        summary.customers.push_back(std::move(demand));
    }
    m_state.parts.allowance.with_lock([&](allowance_book& book) { book.record_peer_summary(summary, now); });
    if (const auto* known = m_state.members.find(sender)) {
        m_configuration.note_peer({sender, known->peer}, request.version);
    }
    return {m_state.versions.current()};
}

void membership_controller::publish_changes()
{
    std::map<vm_name, member_state> states;
    for (const auto& [name, known] : m_state.members.members()) {
        states.emplace(name, known.state);
    }
    if (states == m_published) {
        return;
    }
    for (const auto& [name, seen] : states) {
        const auto before = m_published.find(name);
        const bool changed = before != m_published.end() && before->second != seen;
        if (changed) {
            spdlog::info("vm {} vm={}",
                         std::string(seen == member_state::suspected ? "suspected" : "changed"), name.str());
            m_state.parts.events.record(event_of(seen), {{"vm", name.str()}});
        }
    }
    m_published = std::move(states);
    publish_view(m_state);
}

} // namespace cardamomstream
