/// The queue of one pool in one region and its waiting requests.
#pragma once

#include "cardamomstream/request/admission_fair_queue.h"
#include "cardamomstream/request/dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/fiber/future.hpp>

namespace cardamomstream {

/// A queued request; the promise delivers its grant or final error.
struct waiting_request {
    dispatch_query query;
    boost::fibers::promise<result<dispatch_grant>> promise;
};

/// Not thread-safe; guarded by the lock of the dispatcher.
class pool_queue {
public:
    /// Returns a grant, a final error, or nothing while every upstream is at its limit.
    using grant_action = std::function<std::optional<result<dispatch_grant>>(const dispatch_query&)>;

    explicit pool_queue(fair_queue_settings settings)
        : m_queue(settings)
    {
    }

    fair_queue& queue() noexcept { return m_queue; }
    std::size_t size() const noexcept { return m_waiting.size(); }

    /// Errors: those of `fair_queue::push`.
    result<void> add(std::shared_ptr<waiting_request> request, time_point now);

    /// Removes a request whose caller has disconnected; false if it no longer waits.
    bool remove(const request_id& id);

    /// Refuses the requests whose time is over, then grants in queue order until no upstream is free.
    void grant_waiting(const grant_action& try_grant, time_point now);

private:
    void refuse_expired(time_point now);
    bool grant_next(const grant_action& try_grant, time_point now);

    fair_queue m_queue;
    std::map<request_id, std::shared_ptr<waiting_request>> m_waiting;
    std::optional<queued_request> m_next; ///< popped from the queue while no upstream was free; granted first
};

} // namespace cardamomstream
