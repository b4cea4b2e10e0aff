#include "cardamomstream/process/member_table.h"
#include "cardamomstream/process/rendezvous.h"

#include <algorithm>

namespace cardamomstream {

namespace {

void add_load(pool_load& sum, const pool_load& part)
{
    sum.in_flight += part.in_flight;
    sum.queued += part.queued;
    sum.slots += part.slots;
}

/// Keeps the pools with the most work.
void keep_busiest(std::map<pool_name, pool_load>& loads, std::size_t count)
{
    while (loads.size() > count) {
        const auto idlest =
            std::min_element(loads.begin(), loads.end(), [](const auto& left, const auto& right) {
                return left.second.in_flight + left.second.queued <
                       right.second.in_flight + right.second.queued;
            });
        loads.erase(idlest);
    }
}

} // namespace

bool member_table::is_usable(const vm_name& vm) const
{
    if (vm == m_self) {
        return !m_own.leaving && !m_name_taken;
    }
    const auto found = m_members.find(vm);
    if (found == m_members.end()) {
        return false;
    }
    return found->second.state == member_state::listed || found->second.state == member_state::alive;
}

const member* member_table::find(const vm_name& vm) const
{
    const auto found = m_members.find(vm);
    return found == m_members.end() ? nullptr : &found->second;
}

const std::map<vm_name, member>& member_table::members() const noexcept
{
    return m_members;
}

std::vector<vm_name> member_table::believed_live() const
{
    std::vector<vm_name> live;
    for (const auto& [vm, held] : m_members) {
        if (held.listed && is_usable(vm)) {
            live.push_back(vm);
        }
    }
    return live;
}

std::vector<vm_name> member_table::believed_live(const data_centre_name& data_centre) const
{
    std::vector<vm_name> live;
    for (const auto& [vm, held] : m_members) {
        if (held.listed && held.data_centre == data_centre && is_usable(vm)) {
            live.push_back(vm);
        }
    }
    return live;
}

std::vector<vm_name> member_table::delegates(const data_centre_name& data_centre) const
{
    auto ranked = rank_by_rendezvous(data_centre.str(), believed_live(data_centre));
    ranked.resize(std::min(ranked.size(), m_settings.delegates_per_data_centre));
    return ranked;
}

bool member_table::is_delegate() const
{
    const auto centre = own_data_centre();
    if (!centre) {
        return false;
    }
    const auto ranked = delegates(*centre);
    return std::find(ranked.begin(), ranked.end(), m_self) != ranked.end();
}

std::map<vm_name, applied_version> member_table::applied_versions(time_point now) const
{
    std::map<vm_name, applied_version> versions;
    for (const auto& [vm, held] : m_members) {
        if (held.stamp && held.last_heard) {
            versions[vm] = {held.applied_version, held.stamp->process, *held.last_heard};
        }
    }
    versions[m_self] = {m_own.applied_version, m_own.stamp.process, now};
    return versions;
}

std::map<pool_name, region_load> member_table::loads(const region_name& region, time_point now) const
{
    std::map<pool_name, region_load> sums;
    const auto add = [&sums](const std::map<pool_name, pool_load>& loads, time_point heard) {
        for (const auto& [pool, load] : loads) {
            auto& sum = sums.try_emplace(pool, region_load{{}, heard}).first->second;
            add_load(sum.load, load);
            sum.oldest = std::min(sum.oldest, heard);
        }
    };
    const auto centre = own_data_centre();
    if (const auto self = m_members.find(m_self); self != m_members.end() && self->second.region == region) {
        add(m_own.loads, now);
        for (const auto& [vm, held] : m_members) {
            if (vm != m_self && held.listed && held.data_centre == *centre && held.last_heartbeat) {
                add(held.last_heartbeat->loads, *held.last_heard_direct);
            }
        }
    }
    for (const auto& summary : m_summaries.loads_of(region)) {
        add(*summary.loads, summary.received);
    }
    return sums;
}

bool member_table::name_taken() const noexcept
{
    return m_name_taken;
}

const heartbeat_stamp& member_table::own_stamp() const noexcept
{
    return m_own.stamp;
}

std::optional<data_centre_name> member_table::own_data_centre() const
{
    const auto self = m_members.find(m_self);
    if (self == m_members.end()) {
        return std::nullopt;
    }
    return self->second.data_centre;
}

bool member_table::is_in_summary(const member& value, time_point now) const
{
    return value.listed && !value.suspected && value.stamp && value.last_heard_direct &&
           now - *value.last_heard_direct <= m_settings.summary_freshness;
}

data_centre_summary member_table::own_summary(time_point now) const
{
    const member& self = m_members.at(m_self);
    data_centre_summary summary;
    summary.region = self.region;
    summary.data_centre = self.data_centre;
    summary.origin = m_self;
    summary.stamp = m_own.stamp;
    summary.lowest_version = m_own.applied_version;
    summary.loads = m_own.loads;
    for (const auto& [vm, held] : m_members) {
        if (vm == m_self) {
            summary.members.push_back(
                {vm, m_own.stamp, m_own.applied_version, m_own.leaving, m_own.successor});
        }
        else if (held.data_centre == self.data_centre && is_in_summary(held, now)) {
            summary.members.push_back({vm, *held.stamp, held.applied_version, held.leaving, held.successor});
            summary.lowest_version = std::min(summary.lowest_version, held.applied_version);
            for (const auto& [pool, load] : held.last_heartbeat->loads) {
                add_load(summary.loads[pool], load);
            }
        }
    }
    if (m_own.stamp.counter % m_settings.rounds_per_load != 0) {
        summary.loads.clear();
    }
    keep_busiest(summary.loads, m_settings.max_pools_per_summary);
    summary.members_digest = digest_members(summary.members);
    return summary;
}

} // namespace cardamomstream
