#include "cardamomstream/process/member_table.h"

#include "cardamomstream/process/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

/// Rounds of outbidding after which two processes of one name are both taken to live.
constexpr unsigned max_challenges = 4;

member_state state_of(const member& value)
{
    if (!value.listed) {
        return member_state::gone;
    }
    if (value.leaving || value.listed_leaving) {
        return member_state::leaving;
    }
    if (value.suspected) {
        return member_state::suspected;
    }
    return value.last_heard ? member_state::alive : member_state::listed;
}

/// Takes what a process says about itself; gives whether it was newer.
bool take_word(member& held, const heartbeat_stamp& stamp, version_number version, bool leaving,
               const std::optional<named_successor>& successor)
{
    if (held.stamp && stamp <= *held.stamp) {
        return false;
    }
    const bool same_process = held.stamp && held.stamp->process == stamp.process;
    held.applied_version = same_process ? std::max(held.applied_version, version) : version;
    held.leaving = leaving;
    held.successor = successor;
    held.stamp = stamp;
    return true;
}

} // namespace

member_table::member_table(vm_name self, incarnation process, membership_settings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
    m_own.vm = m_self;
    m_own.stamp = {1, process, 0};
}

bool member_table::apply_list(const vm_list& list, time_point now)
{
    if (m_list_version && list.version <= *m_list_version) {
        return false;
    }
    m_list_version = list.version;
    for (auto& [vm, held] : m_members) {
        if (held.listed && !list.vms.contains(vm)) {
            held.listed = false;
            m_gone_since[vm] = now;
        }
    }
    for (const auto& [vm, listed] : list.vms) {
        auto& held = m_members[vm];
        if (!held.listed) {
            held.listed_since = now;
            held.suspected = false;
        }
        held.listed = true;
        held.listed_leaving = listed.state == listed_state::leaving;
        held.region = listed.region;
        held.data_centre = listed.data_centre;
        held.entry = listed.entry;
        held.peer = listed.peer;
        m_gone_since.erase(vm);
    }
    drop_forgotten(now);
    for (auto& [vm, held] : m_members) {
        held.state = state_of(held);
    }
    return true;
}

void member_table::drop_forgotten(time_point now)
{
    std::erase_if(m_gone_since, [&](const auto& gone) {
        if (now - gone.second < m_settings.forget_gone) {
            return false;
        }
        m_members.erase(gone.first);
        m_last_probe.erase(gone.first);
        m_wanted_by.erase(gone.first);
        return true;
    });
}

void member_table::set_own(heartbeat own)
{
    own.vm = m_self;
    own.stamp = m_own.stamp;
    own.applied_version = std::max(own.applied_version, m_own.applied_version);
    if (own.allowance.size() > m_settings.max_allowance_reports) {
        own.allowance.resize(m_settings.max_allowance_reports);
    }
    if (own.leaving && !m_own.leaving) {
        m_next_round.reset(); // the others must hear of it before callers are sent here again
    }
    m_own = std::move(own);
}

bool member_table::receive(const membership_message& message, const vm_name& sender, time_point now)
{
    if (message.sender.vm != sender) {
        return false;
    }
    if (message.about_receiver) {
        note_own_name(*message.about_receiver);
    }
    const bool newer = merge_heartbeat(message.sender, now);
    const auto centre = own_data_centre();
    for (const auto& summary : message.summaries) {
        if (centre == summary.data_centre) {
            continue; // its VMs speak for themselves here
        }
        for (const auto& record : m_summaries.merge(summary, now)) {
            merge_record(record, now);
        }
    }
    if (!message.wanted_members.empty() && m_members.contains(sender)) {
        m_wanted_by[sender] = message.wanted_members;
    }
    return newer;
}

bool member_table::merge_heartbeat(const heartbeat& value, time_point now)
{
    if (value.vm == m_self) {
        note_own_name(value.stamp);
        return false;
    }
    const auto found = m_members.find(value.vm);
    if (found == m_members.end()) {
        return false;
    }
    member& held = found->second;
    if (!take_word(held, value.stamp, value.applied_version, value.leaving, value.successor)) {
        return false;
    }
    held.last_heartbeat = value;
    held.last_heard = now;
    held.last_heard_direct = now;
    held.suspected = false;
    held.state = state_of(held);
    return true;
}

void member_table::merge_record(const member_record& value, time_point now)
{
    if (value.vm == m_self) {
        note_own_name(value.stamp);
        return;
    }
    const auto found = m_members.find(value.vm);
    if (found == m_members.end()) {
        return;
    }
    member& held = found->second;
    const bool newer = take_word(held, value.stamp, value.applied_version, value.leaving, value.successor);
    const bool same_process = held.stamp->process == value.stamp.process;
    if (!newer && same_process) {
        held.applied_version = std::max(held.applied_version, value.applied_version);
    }
    if (newer || same_process) {
        held.last_heard = now;
    }
    // Others can reach the VM; whether this one can is for a connection of its own to show.
    held.state = state_of(held);
}

void member_table::note_own_name(const heartbeat_stamp& seen)
{
    if (seen.process == m_own.stamp.process || seen.generation < m_own.stamp.generation) {
        return;
    }
    ++m_challenges;
    if (m_challenges > max_challenges && m_own.stamp.process < seen.process) {
        m_name_taken = true;
        return;
    }
    m_own.stamp.generation = seen.generation + 1;
}

void member_table::connection_failed(const vm_name& vm, time_point now)
{
    const auto found = m_members.find(vm);
    if (found == m_members.end()) {
        return;
    }
    m_last_probe[vm] = now;
    found->second.suspected = true;
    found->second.state = state_of(found->second);
}

void member_table::connection_succeeded(const vm_name& vm, time_point now)
{
    const auto found = m_members.find(vm);
    if (found == m_members.end()) {
        return;
    }
    m_last_probe[vm] = now;
    found->second.suspected = false;
    found->second.state = state_of(found->second);
}

membership_tick member_table::tick(time_point now)
{
    membership_tick found;
    if (m_last_tick && now - *m_last_tick > m_settings.pause_limit) {
        found.woke_after_pause = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_last_tick);
    }
    m_last_tick = now;
    drop_forgotten(now);
    const auto centre = own_data_centre();
    for (const auto& [vm, held] : m_members) {
        if (vm == m_self || !held.listed) {
            continue;
        }
        const bool is_neighbour = centre && held.data_centre == *centre;
        const time_point heard =
            std::max(held.last_heard_direct.value_or(held.listed_since), held.listed_since);
        const bool is_silent = is_neighbour && now - heard > m_settings.silence_limit;
        const auto probe = m_last_probe.find(vm);
        const bool probed_lately =
            probe != m_last_probe.end() && now - probe->second < m_settings.probe_interval;
        if ((held.suspected || is_silent) && !probed_lately) {
            found.connections_to_try.push_back(vm);
            m_last_probe[vm] = now;
        }
    }
    return found;
}

std::vector<heartbeat_target> member_table::plan_heartbeats(time_point now, std::mt19937_64& random)
{
    if (m_name_taken || (m_next_round && now < *m_next_round)) {
        return {};
    }
    ++m_own.stamp.counter;
    std::vector<heartbeat_target> round;
    for (const auto& vm : direct_targets()) {
        round.push_back(target_of(vm));
        m_summaries.fill(round.back().message, m_settings.max_relay_bytes, summary_path::within_data_centre);
    }
    if (const auto vm = summary_target(random)) {
        round.push_back(target_of(*vm));
        auto& message = round.back().message;
        message.summaries.push_back(m_summaries.prepare_own(own_summary(now)));
        m_summaries.fill(message, m_settings.max_summary_bytes, summary_path::between_data_centres);
    }
    if (!round.empty()) {
        auto& asked = m_own.stamp.counter % 2 == 0 ? round.front() : round.back();
        asked.message.wanted_members = m_summaries.wanted_members();
    }
    std::size_t bytes = 0;
    for (const auto& target : round) {
        bytes += encoded_size_bound(target.message) + m_settings.message_overhead_bytes;
    }
    const std::chrono::milliseconds paced{bytes * 1'000 / m_settings.bytes_per_second};
    m_next_round = now + std::max(m_settings.heartbeat_interval, paced);
    return round;
}

heartbeat_target member_table::target_of(const vm_name& receiver)
{
    const member& held = m_members.at(receiver);
    heartbeat_target target{receiver, held.peer, {m_own, held.stamp, {}, {}}};
    if (const auto wanted = m_wanted_by.find(receiver); wanted != m_wanted_by.end()) {
        m_summaries.answer(target.message, wanted->second, m_settings.max_answer_bytes);
        m_wanted_by.erase(wanted);
    }
    return target;
}

std::vector<vm_name> member_table::direct_targets()
{
    std::vector<vm_name> targets;
    const auto centre = own_data_centre();
    for (const auto& [vm, held] : m_members) {
        if (vm != m_self && held.listed && centre && held.data_centre == *centre) {
            targets.push_back(vm);
        }
    }
    // In turn, going on after the last one of the round before.
    const auto next = std::find_if(targets.begin(), targets.end(), [this](const vm_name& vm) {
        return m_last_direct && vm.str() > m_last_direct->str();
    });
    std::rotate(targets.begin(), next, targets.end());
    const bool first_word_of_leaving = m_own.leaving && !std::exchange(m_told_leaving, m_own.leaving);
    if (!first_word_of_leaving) {
        targets.resize(std::min(targets.size(), m_settings.direct_targets));
    }
    if (!targets.empty()) {
        m_last_direct = targets.back();
    }
    const auto asker = first_asker(true);
    if (asker && std::find(targets.begin(), targets.end(), *asker) == targets.end()) {
        targets.push_back(*asker);
    }
    return targets;
}

std::optional<vm_name> member_table::summary_target(std::mt19937_64& random) const
{
    if (!is_delegate()) {
        return std::nullopt;
    }
    if (auto asker = first_asker(false)) {
        return asker;
    }
    const bool own_region_first = m_own.stamp.counter % 2 == 0;
    if (own_region_first) {
        if (auto near = random_delegate(other_data_centres(true), random)) {
            return near;
        }
    }
    return random_delegate(other_data_centres(false), random);
}

std::optional<vm_name> member_table::first_asker(bool in_own_centre) const
{
    const auto centre = own_data_centre();
    for (const auto& [vm, wanted] : m_wanted_by) {
        const auto found = m_members.find(vm);
        if (found != m_members.end() && found->second.listed &&
            (found->second.data_centre == centre) == in_own_centre) {
            return vm;
        }
    }
    return std::nullopt;
}

std::optional<vm_name> member_table::random_delegate(const std::vector<data_centre_name>& centres,
                                                     std::mt19937_64& random) const
{
    if (centres.empty()) {
        return std::nullopt;
    }
    const auto candidates = delegates(centres[random() % centres.size()]);
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[random() % candidates.size()];
}

std::vector<data_centre_name> member_table::other_data_centres(bool own_region_only) const
{
    std::set<data_centre_name> found;
    const auto self = m_members.find(m_self);
    for (const auto& [vm, held] : m_members) {
        const bool same_region = self != m_members.end() && held.region == self->second.region;
        const bool same_centre = self != m_members.end() && held.data_centre == self->second.data_centre;
        if (is_usable(vm) && !same_centre && (same_region || !own_region_only)) {
            found.insert(held.data_centre);
        }
    }
    return {found.begin(), found.end()};
}

} // namespace cardamomstream
