/// The queue of one pool in one region, with the requests that wait in it.
#pragma once

#include "cardamomstream/request/admission_fair_queue.h"
#include "cardamomstream/request/dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/fiber/future.hpp>

namespace cardamomstream {

/// A request that waits for its grant.
struct waiting_request {
    dispatch_query query;
    boost::fibers::promise<result<dispatch_grant>> promise;
};

/// Not thread-safe; the dispatcher locks it.
class pool_line {
public:
    /// Gives a grant, an error that is the final answer, or nothing while every upstream is at its limit.
    using place_action = std::function<std::optional<result<dispatch_grant>>(const dispatch_query&)>;

    explicit pool_line(fair_queue_settings settings)
        : m_queue(settings)
    {
    }

    fair_queue& queue() noexcept { return m_queue; }
    std::size_t size() const noexcept { return m_waiting.size(); }

    /// Errors: those of `fair_queue::push`.
    result<void> add(std::shared_ptr<waiting_request> request, time_point now);

    /// The caller left; false if the request no longer waits.
    bool remove(const request_id& id);

    /// Places requests in queue order until one finds no upstream, and answers those that are too late.
    void pump(const place_action& place, time_point now);

private:
    void give_up(time_point now);
    bool place_next(const place_action& place, time_point now);

    fair_queue m_queue;
    std::map<request_id, std::shared_ptr<waiting_request>> m_waiting;
    std::optional<queued_request> m_next; ///< taken from the queue, no upstream was free
};

} // namespace cardamomstream
