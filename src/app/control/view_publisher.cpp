#include "view_publisher.h"

#include "allowance_controller.h"

#include <algorithm>
#include <chrono>

namespace cardamomstream {

namespace {

constexpr std::chrono::seconds heartbeat_validity{5};

std::map<vm_name, vm_contact> contacts_of(const control_state& state)
{
    std::map<vm_name, vm_contact> contacts;
    for (const auto& [name, known] : state.members.members()) {
        if (name == state.parts.config.vm || known.state == member_state::gone) {
            continue;
        }
        vm_contact contact;
        contact.region = known.region;
        contact.entry = known.entry;
        contact.peer = known.peer;
        contact.listed = true;
        contact.usable = state.members.is_usable(name);
        contact.suspected = known.state == member_state::suspected;
        contact.successor = known.successor;
        if (known.stamp) {
            contact.process = known.stamp->process;
        }
        contacts.emplace(name, std::move(contact));
    }
    return contacts;
}

/// Live upstreams of a pool in the home region.
std::vector<upstream_name> home_upstreams(const control_state& state, const pool_name& pool)
{
    std::vector<upstream_name> names;
    for (const auto& [name, upstream] : state.list->upstreams) {
        const bool live = upstream.state == listed_state::live;
        if (live && upstream.pool == pool && upstream.region == state.parts.config.region) {
            names.push_back(name);
        }
    }
    return names;
}

/// What the other VMs of the region run at each upstream, spread evenly over the pool: heartbeats carry one
/// sum for each pool. Without it a VM would leave the others' part of the slots unused while they are idle.
std::map<upstream_name, upstream_load> upstream_loads_of(const control_state& state, time_point now)
{
    std::map<upstream_name, upstream_load> loads;
    const auto own = state.parts.dispatch.figures();
    for (const auto& [pool, seen] : state.members.loads(state.parts.config.region, now)) {
        const auto figures = own.find(pool);
        const auto names = home_upstreams(state, pool);
        if (figures == own.end() || names.empty() || now - seen.oldest > heartbeat_validity) {
            continue;
        }
        const auto others = std::max(0.0, seen.load.in_flight - figures->second.own.in_flight);
        for (const auto& name : names) {
            const auto share = others / static_cast<double>(names.size());
            loads[name] = {share + state.parts.dispatch.in_flight(name), std::chrono::milliseconds{0}};
        }
    }
    return loads;
}

routing_view routing_view_of(const control_state& state, time_point now)
{
    routing_view view;
    view.rules = state.versions.value();
    view.list = state.list;
    for (const auto& [name, known] : state.members.members()) {
        if (name != state.parts.config.vm && known.region != state.parts.config.region &&
            state.members.is_usable(name)) {
            view.peers.push_back({name, known.region});
        }
    }
    if (!view.rules) {
        return view;
    }
    if (view.list) {
        view.upstream_loads = upstream_loads_of(state, now);
    }
    for (const auto& [region, rule] : view.rules->regions) {
        const auto trip = state.round_trips.find(region);
        for (const auto& [pool, seen] : state.members.loads(region, now)) {
            pool_load_report report;
            report.in_flight = seen.load.in_flight;
            report.queued = seen.load.queued;
            report.slots = seen.load.slots;
            report.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - seen.oldest);
            report.round_trip = trip == state.round_trips.end() ? std::chrono::milliseconds{0} : trip->second;
            view.loads[{region, pool}] = report;
        }
    }
    return view;
}

} // namespace

void publish_view(control_state& state)
{
    const auto now = boot_clock::now();
    auto view = std::make_shared<fleet_view>();
    const auto before = state.parts.views.load();
    view->rules = state.versions.value();
    view->keys = before->keys;
    if (view->rules && view->rules != before->rules) {
        view->keys = std::make_shared<const key_index>(*view->rules);
    }
    view->list = state.list;
    view->vms = contacts_of(state);
    view->confirmed = state.confirmed && view->rules && view->list && !state.members.name_taken();
    apply_versions(state); // before a request can name a customer of the new version
    const bool keys_changed = view->keys != before->keys;
    state.parts.views.store(std::move(view));
    state.parts.dispatch.update(routing_view_of(state, now), now);
    if (keys_changed) {
        state.service.end_withdrawn();
    }
}

void publish_loads(control_state& state)
{
    const auto now = boot_clock::now();
    state.parts.dispatch.update(routing_view_of(state, now), now);
}

} // namespace cardamomstream
