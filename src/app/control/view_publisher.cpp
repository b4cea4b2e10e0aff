#include "view_publisher.h"

#include "allowance_controller.h"

namespace cardamomstream {

namespace {

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
        state.service.cancel_withdrawn_keys();
    }
}

void publish_loads(control_state& state)
{
    const auto now = boot_clock::now();
    state.parts.dispatch.update(routing_view_of(state, now), now);
}

} // namespace cardamomstream
