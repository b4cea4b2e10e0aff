/// Routing: picks for each request the upstream or the region that serves its first token soonest.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/request/routing_types.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// Routes by one VM's view of the fleet. Residency goes first, then the pool, then the predicted time to
/// the first token. Own requests in flight count at once; published load corrects them late.
/// Not thread safe: each traffic thread has its own, or the host locks it.
class router {
public:
    router(region_name home, router_settings settings);

    /// Replaces the view. A newly listed upstream starts slowly; a leaving or unlisted one gets nothing more.
    void update(const routing_view& view, time_point now);

    /// Largest number of own requests in flight at one upstream (from the admission's concurrency limit).
    void set_limit(const upstream_name& upstream, std::uint32_t limit);

    /// Decides where the request goes. A `forward` choice takes from the link's budget.
    /// Errors, all not run: `no_permitted_region` where residency leaves no region with this pool,
    /// `upstream_unavailable` where the permitted ones have nothing live, `overloaded` with the time to come
    /// back where only a link without budget leads there, `invalid_request` for hops that can't be true.
    result<route_choice> choose(const route_query& query, time_point now, std::mt19937_64& random);

    /// The attempt begins; call it before the first byte leaves.
    route_attempt started(const route_choice& choice, const route_query& query, time_point now);
    /// The first byte of the answer came.
    void first_byte(route_attempt& attempt, time_point now);
    /// The answer ended well. Each attempt ends with exactly one of `finished` and `failed`.
    void finished(const route_attempt& attempt, time_point now);
    void failed(const route_attempt& attempt, attempt_failure failure, time_point now,
                std::mt19937_64& random);

    /// Own requests in flight at the upstream.
    std::uint32_t in_flight(const upstream_name& upstream) const;
    /// This VM's own part of its region's load, for membership to publish.
    pool_load own_load(const pool_name& pool) const;

private:
    struct load_step {
        time_point at;
        std::uint32_t in_flight = 0;
    };
    struct suspicion {
        std::uint32_t failures = 0;
        time_point last_failure;
        time_point probe_at;
        std::optional<time_point> probe_started;
    };
    struct upstream_state {
        listed_upstream listed;
        bool usable = true; ///< listed and not leaving
        time_point first_seen;
        std::uint32_t own_in_flight = 0;
        std::optional<std::uint32_t> limit;
        token_count prefill_pending = 0; ///< own prompt tokens whose first byte has not come
        double prefill_rate = 0;
        std::chrono::duration<double> service_time{};
        double others_in_flight = 0;
        time_point others_at;
        bool others_known = false;
        std::deque<load_step> history;
        suspicion suspected;
        std::deque<std::uint64_t> prefix_order;
        std::unordered_map<std::uint64_t, std::uint32_t> prefixes;
    };
    struct peer_state {
        region_name region;
        bool live = true;
        std::uint32_t in_flight = 0;
        suspicion suspected;
    };
    struct link_state {
        double rate = 0;
        double level = 0;
        time_point filled;
    };
    struct candidate {
        const upstream_name* name = nullptr;
        upstream_state* state = nullptr;
        double load = 0;
        token_count prefill_tokens = 0;
        route_cost cost;
        bool probe = false;
        bool at_limit = false;
    };
    using candidates = std::vector<candidate>;

    void update_upstreams(const routing_view& view, time_point now);
    void update_peers(const routing_view& view);
    void update_links(const rules& current, time_point now);
    void correct_load(upstream_state& state, const upstream_load& load, time_point now) const;

    result<void> check_hops(const route_query& query) const;
    bool permitted(const route_query& query, const region_name& region) const;
    result<void> check_residency(const route_query& query, route_choice& choice) const;

    candidates home_candidates(const route_query& query, time_point now, route_choice& choice);
    void drop_suspected(candidates& all, time_point now, route_choice& choice);
    void drop_tried(candidates& all, const route_query& query, route_choice& choice) const;
    void predict(candidates& all, const route_query& query, time_point now, route_choice& choice) const;
    const candidate* affinity_choice(const candidates& all, const route_query& query,
                                     route_choice& choice) const;
    double load_of(const upstream_state& state, time_point now) const;
    double warm_share(const upstream_state& state, time_point now) const;
    double effective_slots(const upstream_state& state, time_point now) const;

    result<route_choice> serve_at_home(const route_query& query, time_point now, route_choice choice);
    std::optional<route_choice> send_away(const route_query& query, std::chrono::microseconds home_cost,
                                          time_point now, std::mt19937_64& random, route_choice& choice);
    std::optional<route_cost> region_cost(const region_name& region, const route_query& query,
                                          time_point now) const;
    std::optional<vm_name> pick_peer(const region_name& region, const route_query& query, time_point now,
                                     std::mt19937_64& random) const;
    bool take_link(const region_name& region, time_point now);
    error unreachable(const route_query& query, const route_choice& choice) const;

    std::chrono::microseconds target_of(const pool_name& pool) const;
    void change_in_flight(upstream_state& state, int step, time_point now) const;
    void remember_prefix(upstream_state& state, std::uint64_t digest) const;
    void suspect(suspicion& state, time_point now, std::mt19937_64& random) const;

    region_name m_home;
    router_settings m_settings;
    routing_view m_view;
    time_point m_view_at;
    std::map<upstream_name, upstream_state> m_upstreams;
    std::map<vm_name, peer_state> m_peers;
    std::map<region_name, link_state> m_links;
    bool m_first_update = true;
};

} // namespace cardamomstream
