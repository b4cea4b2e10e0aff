#include "cardamomstream/process/deployment/vm_table.h"

#include <utility>

namespace cardamomstream {

vm_table::vm_table(vm_name self)
    : m_self(std::move(self))
{
}

bool vm_table::apply(const vm_report& report, time_point now)
{
    if (report.vm == m_self) {
        return false;
    }
    auto [found, is_new] = m_vms.try_emplace(report.vm);
    auto& known = found->second;
    if (!is_new && known.report.process == report.process && report.sequence <= known.report.sequence) {
        return false;
    }
    known = {report, now};
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
        if (now - vm.heard_at < vm_alive_limit) {
            heard.push_back(vm.report.inner);
        }
    }
    return heard;
}

std::vector<known_vm> vm_table::alive(time_point now) const
{
    std::vector<known_vm> all;
    for (const auto& [name, vm] : m_vms) {
        if (now - vm.heard_at < vm_alive_limit) {
            all.push_back(vm);
        }
    }
    return all;
}

std::size_t vm_table::sharers(time_point now) const
{
    std::size_t count = 0;
    for (const auto& [name, vm] : m_vms) {
        count += now - vm.heard_at < vm_forget_limit ? 1 : 0;
    }
    return count;
}

void vm_table::expire(time_point now)
{
    std::erase_if(m_vms, [&](const auto& item) { return now - item.second.heard_at >= vm_forget_limit; });
}

} // namespace cardamomstream
