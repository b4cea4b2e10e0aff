#include "cardamomstream/process/deployment/vm_table.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

/// Fraction of the VMs reading the store that must report it as failing before the store counts as down.
/// Their watches end at different times, so at first only a few of them notice.
constexpr double outage_share = 0.1;

bool is_alive(const known_vm& vm, time_point now)
{
    return now - vm.received_at < vm_alive_timeout;
}

} // namespace

std::size_t count_vms(const known_vms& vms)
{
    std::size_t count = 0;
    for (const auto& known : vms) {
        count += known->report.summary ? known->report.summary->members.size() : 1;
    }
    return count;
}

vm_table::vm_table(vm_name self, data_centre_name data_centre)
    : m_self(std::move(self))
    , m_data_centre(std::move(data_centre))
{
}

bool vm_table::is_newer(const report_pointer& known, const vm_report& report)
{
    return !known || known->report.process != report.process || report.sequence > known->report.sequence;
}

bool vm_table::apply(const vm_report& report, time_point now)
{
    if (report.vm == m_self) {
        return false;
    }
    assign_data_centre(report.inner, report.data_centre);
    if (report.summary) {
        return apply_summary(report, now);
    }
    if (report.data_centre != m_data_centre) {
        return false; // its data arrives in a summary
    }
    auto& known = m_vms[report.vm];
    if (!is_newer(known, report)) {
        return false;
    }
    known = std::make_shared<const known_vm>(known_vm{report, now});
    return true;
}

bool vm_table::apply_summary(const vm_report& report, time_point now)
{
    if (report.data_centre == m_data_centre) {
        return false;
    }
    auto& other = m_others[report.data_centre];
    auto& known = other.summaries[report.vm];
    if (!is_newer(known, report)) {
        return false;
    }
    if (!known || known->report.summary->members != report.summary->members) {
        for (const auto& member : report.summary->members) {
            assign_data_centre(member.inner, report.data_centre);
        }
    }
    known = std::make_shared<const known_vm>(known_vm{report, now});
    select_sender(other, report.vm, now);
    return true;
}

void vm_table::select_sender(other_data_centre& other, const vm_name& sender, time_point now)
{
    const auto selected = other.summaries.find(other.selected_sender);
    if (selected == other.summaries.end() || now - selected->second->received_at >= summary_failover_time) {
        other.selected_sender = sender;
    }
}

void vm_table::assign_data_centre(const endpoint& address, const data_centre_name& data_centre)
{
    auto& known = m_data_centre_of[address];
    if (known == data_centre) {
        return;
    }
    m_addresses[known].erase(address);
    m_addresses[data_centre].insert(address);
    m_unidentified.erase(address);
    known = data_centre;
}

void vm_table::learn_address(const endpoint& inner)
{
    if (!m_data_centre_of.contains(inner)) {
        m_unidentified.insert(inner);
    }
}

std::shared_ptr<const known_vm> vm_table::find(const vm_name& vm) const
{
    const auto found = m_vms.find(vm);
    return found == m_vms.end() ? nullptr : found->second;
}

known_vms vm_table::neighbours(time_point now) const
{
    known_vms all;
    for (const auto& [name, vm] : m_vms) {
        if (is_alive(*vm, now)) {
            all.push_back(vm);
        }
    }
    return all;
}

known_vms vm_table::alive(time_point now) const
{
    auto all = neighbours(now);
    for (const auto& [data_centre, other] : m_others) {
        const auto selected = other.summaries.find(other.selected_sender);
        if (selected != other.summaries.end() && is_alive(*selected->second, now)) {
            all.push_back(selected->second);
        }
    }
    return all;
}

void vm_table::learn_neighbour(const endpoint& inner)
{
    if (!m_data_centre_of.contains(inner)) {
        assign_data_centre(inner, m_data_centre);
    }
}

std::set<endpoint> vm_table::silent_neighbours(time_point now) const
{
    auto silent = known_in(m_data_centre);
    for (const auto& vm : neighbours(now)) {
        silent.erase(vm->report.inner);
    }
    return silent;
}

std::vector<vm_member> vm_table::alive_in(const data_centre_name& other, time_point now) const
{
    const auto found = m_others.find(other);
    if (found == m_others.end()) {
        return {};
    }
    const auto selected = found->second.summaries.find(found->second.selected_sender);
    if (selected == found->second.summaries.end() || !is_alive(*selected->second, now)) {
        return {};
    }
    return selected->second->report.summary->members;
}

const std::set<endpoint>& vm_table::known_in(const data_centre_name& data_centre) const
{
    static const std::set<endpoint> none;
    const auto found = m_addresses.find(data_centre);
    return found == m_addresses.end() ? none : found->second;
}

std::size_t vm_table::reporting_data_centres(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_others.begin(), m_others.end(), [&](const auto& item) {
        const auto& summaries = item.second.summaries;
        const auto selected = summaries.find(item.second.selected_sender);
        return selected != summaries.end() && is_alive(*selected->second, now);
    }));
}

std::size_t vm_table::local_sharers(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_vms.begin(), m_vms.end(), [&](const auto& vm) {
        return now - vm.second->received_at < vm_expiry_time;
    }));
}

std::size_t vm_table::sharers(time_point now) const
{
    auto count = local_sharers(now);
    for (const auto& [data_centre, other] : m_others) {
        const auto selected = other.summaries.find(other.selected_sender);
        if (selected != other.summaries.end() && now - selected->second->received_at < vm_expiry_time) {
            count += selected->second->report.summary->sharers;
        }
    }
    return count;
}

vm_table::reader_count vm_table::count_readers(time_point now) const
{
    reader_count readers;
    for (const auto& vm : alive(now)) {
        const auto& report = vm->report;
        if (report.summary) {
            readers.all += report.summary->store_readers;
            readers.failing += report.summary->store_readers_failing;
        }
        else if (report.reads_store || report.store_failing) {
            readers.all += 1;
            readers.failing += report.store_failing ? 1 : 0;
        }
    }
    return readers;
}

std::size_t vm_table::store_readers(time_point now) const
{
    return count_readers(now).all;
}

bool vm_table::peers_report_store_outage(time_point now) const
{
    const auto readers = count_readers(now);
    return readers.failing > 0 &&
           static_cast<double>(readers.failing) >= outage_share * static_cast<double>(readers.all);
}

void vm_table::expire(time_point now)
{
    const auto is_expired = [&](const auto& item) {
        return now - item.second->received_at >= vm_expiry_time;
    };
    std::erase_if(m_vms, is_expired);
    for (auto& [data_centre, other] : m_others) {
        std::erase_if(other.summaries, is_expired);
    }
}

} // namespace cardamomstream
