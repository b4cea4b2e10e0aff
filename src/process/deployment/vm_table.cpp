#include "cardamomstream/process/deployment/vm_table.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

/// Part of the VMs alive that report a failing store when the store itself is away. Their watches end at
/// different times, so at first few of them notice.
constexpr double telling_part = 0.1;

} // namespace

vm_table::vm_table(vm_name self)
    : m_self(std::move(self))
{
}

bool vm_table::apply(const vm_report& report, time_point now)
{
    if (report.vm == m_self) {
        return false;
    }
    auto& known = m_vms[report.vm];
    if (known && known->report.process == report.process && report.sequence <= known->report.sequence) {
        return false;
    }
    known = std::make_shared<const known_vm>(known_vm{report, now});
    m_addresses[report.inner] = now;
    return true;
}

void vm_table::learn_address(const endpoint& inner)
{
    m_addresses.try_emplace(inner);
}

std::vector<endpoint> vm_table::addresses() const
{
    std::vector<endpoint> all;
    all.reserve(m_addresses.size());
    for (const auto& [address, heard] : m_addresses) {
        all.push_back(address);
    }
    return all;
}

std::vector<endpoint> vm_table::heard_addresses(time_point now) const
{
    std::vector<endpoint> heard;
    for (const auto& [name, vm] : m_vms) {
        if (now - vm->heard_at < vm_alive_limit) {
            heard.push_back(vm->report.inner);
        }
    }
    return heard;
}

known_vms vm_table::alive(time_point now) const
{
    known_vms all;
    for (const auto& [name, vm] : m_vms) {
        if (now - vm->heard_at < vm_alive_limit) {
            all.push_back(vm);
        }
    }
    return all;
}

bool vm_table::speaks_for(const region_name& region, time_point now) const
{
    for (const auto& [name, vm] : m_vms) {
        if (name < m_self && vm->report.region == region && now - vm->heard_at < vm_alive_limit) {
            return false;
        }
    }
    return true;
}

std::vector<upstream_load> vm_table::region_loads(const region_name& region, std::vector<upstream_load> own,
                                                  time_point now) const
{
    std::map<upstream_name, upstream_load> sums;
    const auto add = [&](const upstream_load& load) {
        auto& sum = sums[load.upstream];
        sum.upstream = load.upstream;
        sum.running += load.running;
        sum.reading_left += load.reading_left;
        sum.memory_tokens += load.memory_tokens;
        sum.new_parts.insert(sum.new_parts.end(), load.new_parts.begin(), load.new_parts.end());
    };
    std::for_each(own.begin(), own.end(), add);
    for (const auto& [name, vm] : m_vms) {
        if (vm->report.region == region && now - vm->heard_at < vm_alive_limit) {
            std::for_each(vm->report.loads.begin(), vm->report.loads.end(), add);
        }
    }
    std::vector<upstream_load> all;
    all.reserve(sums.size());
    for (auto& [id, sum] : sums) {
        all.push_back(std::move(sum));
    }
    return all;
}

std::vector<endpoint> vm_table::addresses_in(const region_name& region, time_point now) const
{
    std::vector<endpoint> inside;
    for (const auto& [name, vm] : m_vms) {
        if (vm->report.region == region && now - vm->heard_at < vm_alive_limit) {
            inside.push_back(vm->report.inner);
        }
    }
    return inside;
}

std::vector<endpoint> vm_table::addresses_outside(const region_name& region, time_point now) const
{
    const auto inside = addresses_in(region, now);
    std::vector<endpoint> outside;
    for (const auto& [address, heard] : m_addresses) {
        if (std::find(inside.begin(), inside.end(), address) == inside.end()) {
            outside.push_back(address);
        }
    }
    return outside;
}

std::size_t vm_table::sharers(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [name, vm] : m_vms) {
        count += now - vm->heard_at < vm_forget_limit ? 1 : 0;
    }
    return count;
}

bool vm_table::store_fails_others(time_point now) const
{
    std::size_t alive = 0;
    std::size_t failing = 0;
    for (const auto& [name, vm] : m_vms) {
        if (now - vm->heard_at < vm_alive_limit) {
            alive += 1;
            failing += vm->report.store_failing ? 1 : 0;
        }
    }
    return failing > 0 && static_cast<double>(failing) >= telling_part * static_cast<double>(alive);
}

void vm_table::expire(time_point now)
{
    std::erase_if(m_vms, [&](const auto& item) { return now - item.second->heard_at >= vm_forget_limit; });
}

} // namespace cardamomstream
