/// Gives requests their upstream: routing, the fair queue and the upstreams' limits behind one lock.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/request/admission_types.h"
#include "cardamomstream/request/routing.h"

#include <map>
#include <memory>
#include <optional>

namespace cardamomstream {

/// One attempt of a request that asks for an upstream.
struct dispatch_query {
    request_id id;
    customer_name customer;
    token_count cost = 1; ///< tokens that it is expected to take of an upstream
    time_point deadline;  ///< latest start
    route_query route;
    /// Set for calls that run at most once: an upstream of this region, reached directly, without a hop.
    std::optional<region_name> direct_region;
};

/// The right to use one upstream or to forward. Each grant ends with exactly one `finish` or `fail`.
struct dispatch_grant {
    region_name region; ///< whose router gave it
    pool_name pool;
    route_choice choice;
    route_attempt attempt;
    bool queued = false; ///< it waited for a slot
};

/// Queue lengths and own load of one pool.
struct pool_stats {
    std::size_t queued = 0;
    pool_load_report own;
};

struct dispatcher_settings {
    router_settings routing;
    fair_queue_settings queue;
    concurrency_limit_settings limit;
};

/// Thread-safe: one view of the upstreams serves all traffic threads.
class dispatcher {
public:
    dispatcher(region_name home, dispatcher_settings settings, std::uint64_t seed);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    dispatcher(dispatcher&&) = delete;
    dispatcher& operator=(dispatcher&&) = delete;

    /// Takes a new view of the fleet.
    void update(const routing_view& view, time_point now);

    /// Routes the request; suspends the calling fiber while it waits in the queue. Errors are final answers,
    /// not run: those of `router::choose`, overloaded with the time to come back, cancelled.
    result<dispatch_grant> acquire(const dispatch_query& query, cancellation& cancel);

    void first_byte(dispatch_grant& grant, time_point now);
    void finish(const dispatch_grant& grant, time_point now);
    void fail(const dispatch_grant& grant, attempt_failure failure, time_point now);

    /// Answers the queued requests that can no longer be served in time. Call a few times a second.
    void tick(time_point now);

    std::map<pool_name, pool_stats> stats() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cardamomstream
