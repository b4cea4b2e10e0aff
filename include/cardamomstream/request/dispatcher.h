/// Assigns upstreams to requests: routing, fair queueing and the upstreams' concurrency limits behind one
/// lock.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/request/admission_types.h"
#include "cardamomstream/request/routing.h"

#include <map>
#include <memory>
#include <optional>

namespace cardamomstream {

/// An attempt of a request, for which an upstream is to be selected.
struct dispatch_query {
    request_id id;
    customer_name customer;
    token_count cost = 1; ///< expected tokens
    time_point deadline;  ///< latest time at which the attempt may start
    route_query route;
    /// Set for at-most-once calls: the region of the upstream, which is reached directly, without a hop.
    std::optional<region_name> direct_region;
};

/// Permission to use one upstream or to forward. Each grant is ended by exactly one `finish` or `fail`.
struct dispatch_grant {
    region_name region; ///< region of the router that made the choice
    pool_name pool;
    route_choice choice;
    route_attempt attempt;
    bool queued = false; ///< the request waited in the queue
};

/// Queue length of one pool and the load that this VM puts on it.
struct pool_stats {
    std::size_t queued = 0;
    pool_load_report own;
};

struct dispatcher_settings {
    router_settings routing;
    fair_queue_settings queue;
    concurrency_limit_settings limit;
};

/// Thread-safe; one instance is shared by all traffic threads.
class dispatcher {
public:
    dispatcher(region_name home, dispatcher_settings settings, std::uint64_t seed);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    dispatcher(dispatcher&&) = delete;
    dispatcher& operator=(dispatcher&&) = delete;

    /// Applies a new view of the fleet and grants waiting requests where it allows.
    void update(const routing_view& view, time_point now);

    /// Routes the request; suspends the calling fiber while the request is queued. Errors are final, not run:
    /// those of `router::choose`, overloaded with `retry_after`, cancelled.
    result<dispatch_grant> acquire(const dispatch_query& query, cancellation& cancel);

    /// Records the latency to the first byte, from which the upstream's limit is adapted.
    void first_byte(dispatch_grant& grant, time_point now);
    /// Ends a grant whose attempt succeeded.
    void finish(const dispatch_grant& grant, time_point now);
    /// Ends a grant whose attempt failed.
    void fail(const dispatch_grant& grant, attempt_failure failure, time_point now);

    /// Refuses queued requests that can no longer be served in time. Called a few times a second.
    void tick(time_point now);

    std::map<pool_name, pool_stats> stats() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cardamomstream
