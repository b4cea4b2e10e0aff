/// Routing: picks for each request the upstream or the region that serves its first token soonest.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/request/routing_types.h"

#include <cstdint>
#include <memory>
#include <random>

namespace cardamomstream {

/// Routes by one VM's view of the fleet. Residency goes first, then the pool, then the predicted time to
/// the first token. Own requests in flight count at once; published load corrects them late.
/// Not thread safe: each traffic thread has its own, or the host locks it.
class router {
public:
    router(region_name home, router_settings settings);
    router(router&& other) noexcept;
    router& operator=(router&& other) noexcept;
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    ~router();

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

    /// Slots of the upstream that this VM may fill now: its equal part among its region's VMs, or what the
    /// others leave free by their last report where that is more. 0 for a leaving or unlisted one.
    std::uint32_t open_slots(const upstream_name& upstream, time_point now) const;

    /// Own requests in flight at the upstream.
    std::uint32_t in_flight(const upstream_name& upstream) const;
    /// This VM's own part of its region's load, for membership to publish.
    pool_load_report own_load(const pool_name& pool) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cardamomstream
