/// What a router knows of one upstream: its load, its speed and the prefixes it likely holds.
#pragma once

#include "cardamomstream/request/routing_types.h"

#include "suspicion.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace cardamomstream {

/// Model of one upstream, fed by own attempts at once and by its published load late.
class upstream_model {
public:
    upstream_model(listed_upstream listed, const router_settings& settings,
                   std::optional<time_point> cold_since);

    const listed_upstream& listed() const noexcept { return m_listed; }
    void set_listed(const listed_upstream& listed) { m_listed = listed; }
    /// Listed and not leaving.
    bool usable() const noexcept { return m_usable && m_listed.state == listed_state::live; }
    void set_unlisted() noexcept { m_usable = false; }
    /// It came back: its cache is empty and it starts slowly.
    void restart_cold(time_point now);

    void set_limit(std::uint32_t limit) { m_limit = limit; }
    bool at_limit() const { return m_limit && m_own_in_flight >= *m_limit; }

    void report(const upstream_load& load, time_point now);
    void started(token_count prefill_tokens, std::uint64_t digest, time_point now);
    void first_byte(const route_attempt& attempt, time_point now);
    void ended(const route_attempt& attempt, time_point now);
    void finished(const route_attempt& attempt, time_point now);

    /// Requests of all VMs there: own ones exactly, those of others as last published.
    double load(time_point now) const;
    std::uint32_t own_in_flight() const noexcept { return m_own_in_flight; }
    /// Slots that one of `vms` VMs may fill.
    std::uint32_t open_slots(std::uint32_t vms, time_point now) const;
    /// Share of its slots that a cold upstream may use for now.
    double warm_share(time_point now) const;
    /// True while nothing would delay a new request's prefill.
    bool idle_prefill(time_point now) const;
    bool holds_prefix(std::uint64_t digest) const { return m_prefixes.contains(digest); }
    /// Prompt tokens to compute; `credited` of them are hoped to be cached and count as far as such hopes
    /// held.
    token_count expected_prefill(token_count prompt, token_count credited) const;
    route_cost predict(token_count prefill_tokens, time_point now) const;

    double prefill_rate() const noexcept { return m_prefill_rate; }
    std::chrono::duration<double> service_time() const noexcept { return m_service_time; }

    suspicion suspected;

private:
    struct load_step {
        time_point at;
        std::uint32_t in_flight = 0;
    };

    double others_in_flight(time_point now) const;
    void change_in_flight(int step, time_point now);
    std::uint32_t own_in_flight_at(time_point when) const;
    void remember_prefix(std::uint64_t digest);
    void learn(const route_attempt& attempt, std::chrono::duration<double> latency);

    listed_upstream m_listed;
    router_settings m_settings;
    bool m_usable = true;
    std::optional<time_point> m_cold_since;
    std::optional<std::uint32_t> m_limit;
    std::uint32_t m_own_in_flight = 0;
    std::deque<load_step> m_history;
    token_count m_prefill_pending = 0; ///< own prompt tokens whose first byte has not come
    double m_prefill_rate;
    double m_hit_share = 1; ///< of the hoped-for cache hits
    std::chrono::duration<double> m_service_time;
    double m_others_in_flight = 0;
    std::optional<time_point> m_others_at;
    std::deque<std::uint64_t> m_prefix_order;                    ///< the least recently used first
    std::unordered_map<std::uint64_t, std::uint32_t> m_prefixes; ///< times it stands in the order
};

} // namespace cardamomstream
