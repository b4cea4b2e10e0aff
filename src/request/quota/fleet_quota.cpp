#include "cardamomstream/request/quota/fleet_quota.h"

#include <algorithm>
#include <cmath>

namespace cardamomstream {

namespace {

/// Fraction of the burst with which a process starts: its predecessor may have just used the rest.
constexpr double initial_burst_fraction = 0.5;

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void fleet_quota::set_fleet_size(std::size_t reporting, std::size_t sharers)
{
    m_rate_fraction =
        static_cast<double>(1 + reporting) / static_cast<double>(1 + std::max(reporting, sharers));
}

void fleet_quota::set_plan(const service_plan& plan, time_point now)
{
    for (const auto& customer : plan.document().customers) {
        auto [found, is_new] = m_buckets.try_emplace(customer.name);
        auto& target = found->second;
        if (is_new || !target.allowance.limited) {
            target.level = customer.allowance.burst * initial_burst_fraction;
            target.refilled_at = now;
        }
        else {
            refill(target, now);
        }
        target.allowance = customer.allowance;
        target.level = std::min(target.level, customer.allowance.burst);
    }
}

void fleet_quota::refill(bucket& target, time_point now) const
{
    const double added =
        target.allowance.rate_per_second * m_rate_fraction * seconds_between(target.refilled_at, now);
    target.level = std::min(target.level + std::max(added, 0.0), target.allowance.burst);
    target.refilled_at = std::max(target.refilled_at, now);
}

bool fleet_quota::admit(const customer_name& customer, double amount, time_point now)
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end()) {
        return true;
    }
    auto& target = found->second;
    if (target.allowance.limited) {
        refill(target, now);
        if (target.level <= 0) {
            return false;
        }
        target.level -= amount;
    }
    target.admitted += amount;
    target.used = true;
    return true;
}

void fleet_quota::refund(const customer_name& customer, double amount)
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end()) {
        return;
    }
    found->second.level += amount;
    found->second.admitted -= amount; // the other VMs add it back when it is reported
}

void fleet_quota::apply_report(const vm_report& report)
{
    auto& peer = report.summary ? m_data_centres[report.data_centre] : m_peers[report.vm];
    const bool is_baseline = peer.process != report.process || peer.reporter != report.vm;
    if (is_baseline) {
        peer = {report.vm, report.process, {}};
    }
    for (const auto& use : report.uses) {
        auto& seen = peer.admitted[use.customer];
        const auto found = m_buckets.find(use.customer);
        if (!is_baseline && found != m_buckets.end() && found->second.allowance.limited) {
            found->second.level -= use.admitted - seen;
        }
        seen = use.admitted;
    }
}

std::chrono::milliseconds fleet_quota::time_to_admit(const customer_name& customer, time_point now)
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end() || found->second.allowance.rate_per_second <= 0) {
        return std::chrono::milliseconds{0};
    }
    auto& target = found->second;
    refill(target, now);
    const double rate = target.allowance.rate_per_second * m_rate_fraction;
    const double missing = std::max(0.0, -target.level);
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(1000.0 * missing / rate)));
}

std::vector<customer_use> fleet_quota::uses() const
{
    std::vector<customer_use> all;
    for (const auto& [name, target] : m_buckets) {
        if (target.used) {
            all.push_back({name, target.admitted});
        }
    }
    return all;
}

} // namespace cardamomstream
