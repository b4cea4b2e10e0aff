#include "cardamomstream/process/deployment/data_centre_totals.h"

#include <algorithm>

namespace cardamomstream {

namespace {

/// Prompt parts of one upstream in one summary. With this limit a datagram holds those of about a hundred
/// upstreams.
constexpr std::size_t max_parts_per_upstream = 32;

double previously_admitted(const vm_report* previous, const customer_use& use, const incarnation& process)
{
    if (previous == nullptr || previous->process != process) {
        return use.admitted; // the first report of a process only sets the baseline
    }
    const auto found =
        std::find_if(previous->uses.begin(), previous->uses.end(),
                     [&](const customer_use& known) { return known.customer == use.customer; });
    return found == previous->uses.end() ? 0 : found->admitted;
}

} // namespace

void data_centre_totals::add(const vm_report& report, const vm_report* previous)
{
    for (const auto& use : report.uses) {
        m_admitted[use.customer] += use.admitted - previously_admitted(previous, use, report.process);
    }
    for (const auto& load : report.loads) {
        if (load.new_parts.empty()) {
            continue;
        }
        auto& parts = m_new_parts[load.upstream];
        const auto remaining = max_parts_per_upstream - std::min(max_parts_per_upstream, parts.size());
        const auto added = std::min(remaining, load.new_parts.size());
        parts.insert(parts.end(), load.new_parts.begin(),
                     load.new_parts.begin() + static_cast<std::ptrdiff_t>(added));
    }
    for (const auto& late : report.lateness) {
        auto& sum = m_lateness[{late.service, late.urgency}];
        sum.ms += static_cast<double>(late.mean.count()) * late.samples;
        sum.samples += late.samples;
    }
}

void data_centre_totals::fill_summary(vm_report& summary, const std::vector<const vm_report*>& alive) const
{
    std::map<upstream_name, upstream_load> loads;
    for (const auto* report : alive) {
        for (const auto& load : report->loads) {
            auto& sum = loads[load.upstream];
            sum.running += load.running;
            sum.prefill_left += load.prefill_left;
            sum.memory_tokens += load.memory_tokens;
        }
    }
    summary.loads.clear();
    for (auto& [id, sum] : loads) {
        sum.upstream = id;
        summary.loads.push_back(std::move(sum));
    }
    summary.uses.clear();
    for (const auto& [customer, admitted] : m_admitted) {
        summary.uses.push_back({customer, admitted});
    }
    summary.lateness.clear();
}

void data_centre_totals::move_recent_to(vm_report& summary)
{
    for (auto& recent : m_new_parts) {
        auto load = std::find_if(summary.loads.begin(), summary.loads.end(),
                                 [&](const upstream_load& known) { return known.upstream == recent.first; });
        if (load == summary.loads.end()) {
            load = summary.loads.insert(load, upstream_load{});
            load->upstream = recent.first;
        }
        load->new_parts = std::move(recent.second);
    }
    for (const auto& [key, sum] : m_lateness) {
        const auto mean = static_cast<std::int64_t>(sum.ms / std::max(sum.samples, 1U));
        summary.lateness.push_back({key.first, key.second, std::chrono::milliseconds(mean), sum.samples});
    }
    discard_recent();
}

void data_centre_totals::discard_recent()
{
    m_new_parts.clear();
    m_lateness.clear();
}

} // namespace cardamomstream
