#include "cardamomstream/request/quota/fleet_quota.h"

#include <algorithm>
#include <cmath>

namespace cardamomstream {

namespace {

/// Part of the burst with which a process starts: its predecessor may just have spent the rest.
constexpr double start_level = 0.5;

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void fleet_quota::set_fleet(std::size_t heard, std::size_t sharers)
{
    m_part = static_cast<double>(1 + heard) / static_cast<double>(1 + std::max(heard, sharers));
}

void fleet_quota::set_plan(const service_plan& plan, time_point now)
{
    for (const auto& customer : plan.document().customers) {
        auto [found, is_new] = m_buckets.try_emplace(customer.name);
        auto& one = found->second;
        if (is_new || !one.allowance.limited) {
            one.level = customer.allowance.burst * start_level;
            one.filled_at = now;
        }
        else {
            fill(one, now);
        }
        one.allowance = customer.allowance;
        one.level = std::min(one.level, customer.allowance.burst);
    }
}

void fleet_quota::fill(bucket& one, time_point now) const
{
    const double added = one.allowance.rate_per_second * m_part * seconds_between(one.filled_at, now);
    one.level = std::min(one.level + std::max(added, 0.0), one.allowance.burst);
    one.filled_at = std::max(one.filled_at, now);
}

bool fleet_quota::admit(const customer_name& customer, double amount, time_point now)
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end()) {
        return true;
    }
    auto& one = found->second;
    if (one.allowance.limited) {
        fill(one, now);
        if (one.level <= 0) {
            return false;
        }
        one.level -= amount;
    }
    one.admitted += amount;
    one.used = true;
    return true;
}

void fleet_quota::refund(const customer_name& customer, double amount)
{
    const auto found = m_buckets.find(customer);
    if (found == m_buckets.end()) {
        return;
    }
    found->second.level += amount;
    found->second.admitted -= amount; // the others give it back when they hear of it
}

void fleet_quota::apply(const vm_report& report)
{
    auto& peer = report.summary ? m_data_centres[report.data_centre] : m_peers[report.vm];
    const bool base = peer.process != report.process || peer.told_by != report.vm;
    if (base) {
        peer = {report.vm, report.process, {}};
    }
    for (const auto& use : report.uses) {
        auto& seen = peer.admitted[use.customer];
        const auto found = m_buckets.find(use.customer);
        if (!base && found != m_buckets.end() && found->second.allowance.limited) {
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
    auto& one = found->second;
    fill(one, now);
    const double rate = one.allowance.rate_per_second * m_part;
    const double missing = std::max(0.0, -one.level);
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(1000.0 * missing / rate)));
}

std::vector<customer_use> fleet_quota::uses() const
{
    std::vector<customer_use> all;
    for (const auto& [name, one] : m_buckets) {
        if (one.used) {
            all.push_back({name, one.admitted});
        }
    }
    return all;
}

} // namespace cardamomstream
