/// A router's estimates for one upstream: load, speed and prefixes likely to be cached.
#pragma once

#include "cardamomstream/request/routing_types.h"

#include "suspicion.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace cardamomstream {

/// Model of one upstream, updated by each attempt of this router and, with a delay, by the upstream's
/// published load. "Own" are the requests of this router.
class upstream_model {
public:
    upstream_model(listed_upstream listed, const router_settings& settings,
                   std::optional<time_point> cold_since);

    const listed_upstream& listed() const noexcept { return m_listed; }
    void set_listed(const listed_upstream& listed) { m_listed = listed; }
    /// Listed and not leaving.
    bool usable() const noexcept { return m_usable && m_listed.state == listed_state::live; }
    void set_unlisted() noexcept { m_usable = false; }
    /// Resets the model of an upstream that is live again or has a new address: its prefix cache is empty and
    /// it goes through slow start.
    void restart_cold(time_point now);

    void set_limit(std::uint32_t limit) { m_limit = limit; }
    bool at_limit() const { return m_limit && m_own_in_flight >= *m_limit; }

    void set_published_load(const upstream_load& load, time_point now);
    void started(token_count prefill_tokens, std::uint64_t digest, time_point now);
    void first_byte(const route_attempt& attempt, time_point now);
    void end_attempt(const route_attempt& attempt, time_point now);
    void finished(const route_attempt& attempt, time_point now);

    /// Requests of all VMs: own ones exactly, those of other VMs as last published.
    double load(time_point now) const;
    std::uint32_t own_in_flight() const noexcept { return m_own_in_flight; }
    /// Slots that this VM may use if `vms` VMs share the upstream.
    std::uint32_t open_slots(std::uint32_t vms, time_point now) const;
    /// Fraction of the slots usable now: grows to 1 over the slow start.
    double slow_start_share(time_point now) const;
    /// True if no own prefill is pending and a slot is free.
    bool can_prefill_at_once(time_point now) const;
    bool holds_prefix(std::uint64_t digest) const { return m_prefixes.contains(digest); }
    /// Prompt tokens to compute if `expected_cached` of them may be cached, by the observed cache hit ratio.
    token_count expected_prefill(token_count prompt, token_count expected_cached) const;
    route_cost predict(token_count prefill_tokens, time_point now) const;

    double prefill_rate() const noexcept { return m_prefill_rate; }
    std::chrono::duration<double> service_time() const noexcept { return m_service_time; }

    suspicion suspected;

private:
    struct in_flight_change {
        time_point at;
        std::uint32_t in_flight = 0;
    };

    double others_in_flight(time_point now) const;
    void change_in_flight(int step, time_point now);
    std::uint32_t own_in_flight_at(time_point when) const;
    void remember_prefix(std::uint64_t digest);
    void update_estimates(const route_attempt& attempt, std::chrono::duration<double> latency);

    listed_upstream m_listed;
    router_settings m_settings;
    bool m_usable = true;
    std::optional<time_point> m_cold_since;
    std::optional<std::uint32_t> m_limit;
    std::uint32_t m_own_in_flight = 0;
    std::deque<in_flight_change> m_own_history;
    token_count m_prefill_pending = 0; ///< own prompt tokens still without a first byte
    double m_prefill_rate;
    double m_cache_hit_ratio = 1; ///< smoothed fraction of the expected cache hits that occurred
    std::chrono::duration<double> m_service_time;
    double m_others_in_flight = 0;
    std::optional<time_point> m_others_measured_at;
    std::deque<std::uint64_t> m_prefix_order;                    ///< least recently used first
    std::unordered_map<std::uint64_t, std::uint32_t> m_prefixes; ///< number of entries in `m_prefix_order`
};

} // namespace cardamomstream
