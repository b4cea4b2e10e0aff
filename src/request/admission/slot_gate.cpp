#include "cardamomstream/request/admission_slot_gate.h"

namespace cardamomstream {

slot_gate::slot_gate(concurrency_limit_settings settings)
    : m_settings(settings)
{
}

void slot_gate::open(const upstream_name& upstream, std::uint32_t slots)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end()) {
        found->second.open = true;
        found->second.slots = std::max(1U, slots);
        return;
    }
    auto settings = m_settings;
    settings.initial = std::max(1U, slots);
    m_upstreams.emplace(upstream, upstream_slots{concurrency_limit{settings}, settings.initial, 0, true});
}

void slot_gate::close(const upstream_name& upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    found->second.open = false;
    if (found->second.in_flight == 0) {
        m_upstreams.erase(found);
    }
}

bool slot_gate::try_acquire(const upstream_name& upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || !found->second.open) {
        return false;
    }
    if (found->second.in_flight >= found->second.usable()) {
        return false;
    }
    ++found->second.in_flight;
    return true;
}

void slot_gate::release(const upstream_name& upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || found->second.in_flight == 0) {
        return;
    }
    --found->second.in_flight;
    if (!found->second.open && found->second.in_flight == 0) {
        m_upstreams.erase(found);
    }
}

void slot_gate::first_byte(const upstream_name& upstream, std::chrono::microseconds latency,
                           std::chrono::microseconds expected, time_point now)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end()) {
        found->second.limit.sample(latency, expected, found->second.in_flight, now);
    }
}

void slot_gate::dropped(const upstream_name& upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end()) {
        found->second.limit.dropped();
    }
}

std::uint32_t slot_gate::limit(const upstream_name& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.usable();
}

std::uint32_t slot_gate::in_flight(const upstream_name& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.in_flight;
}

std::uint32_t slot_gate::free() const
{
    std::uint32_t total = 0;
    for (const auto& [name, slots] : m_upstreams) {
        total += slots.usable() - std::min(slots.usable(), slots.in_flight);
    }
    return total;
}

} // namespace cardamomstream
