/// Chooses, for each request, the upstream or the region with the lowest predicted time to first token.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/request/routing_types.h"

#include <cstdint>
#include <memory>
#include <random>

namespace cardamomstream {

/// Routes requests by one VM's view of the fleet. Regions and upstreams are filtered by the customer's
/// residency and by the pool; the rest are ranked by predicted time to first token. Requests that this router
/// sent count immediately, those of other VMs when the next load report arrives.
/// Not thread safe: use one router per traffic thread, or lock it.
class router {
public:
    router(region_name home, router_settings settings);
    router(router&& other) noexcept;
    router& operator=(router&& other) noexcept;
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    ~router();

    /// Replaces the view. A newly listed upstream goes through slow start; a leaving or unlisted one receives
    /// no new requests.
    void update(const routing_view& view, time_point now);

    /// Sets how many requests this router may have in flight at the upstream (see `concurrency_limit`).
    void set_limit(const upstream_name& upstream, std::uint32_t limit);

    /// Decides where the request goes. A `forward` choice consumes one request of the link's budget.
    /// Every error has the outcome `not_run`:
    /// - `no_permitted_region`: no region that the customer's residency permits has this pool;
    /// - `upstream_unavailable`: the permitted regions have no live upstream;
    /// - `overloaded`, with `retry_after`: the only links to a live upstream have no budget left;
    /// - `invalid_request`: the hop count and the regions passed are inconsistent.
    result<route_choice> choose(const route_query& query, time_point now, std::mt19937_64& random);

    /// Records the start of an attempt. Call before sending its first byte.
    route_attempt started(const route_choice& choice, const route_query& query, time_point now);
    /// Records the first byte of the response.
    void first_byte(route_attempt& attempt, time_point now);
    /// Records a complete response. Call exactly one of `finished` and `failed` for each attempt.
    void finished(const route_attempt& attempt, time_point now);
    void failed(const route_attempt& attempt, attempt_failure failure, time_point now,
                std::mt19937_64& random);

    /// Slots of the upstream that this VM may use now: an equal share among the VMs of its region, or the
    /// slots free by the last load report if that is more. 0 for a leaving or unlisted upstream.
    std::uint32_t open_slots(const upstream_name& upstream, time_point now) const;

    /// Requests of this router in flight at the upstream.
    std::uint32_t in_flight(const upstream_name& upstream) const;
    /// This router's part of the region's load, for membership to publish.
    pool_load_report own_load(const pool_name& pool) const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cardamomstream
