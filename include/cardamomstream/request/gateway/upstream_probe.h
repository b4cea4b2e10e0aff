/// Finds out whether an upstream's process has ended, or can't be reached.
#pragma once

#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/core/boot_clock.h"

#include <unordered_map>

#include <boost/fiber/future.hpp>

namespace cardamomstream {

/// A connection that breaks may have been reset on the way; a process that has ended refuses new ones. Used
/// in fibers of one traffic thread.
class upstream_probe {
public:
    explicit upstream_probe(http_client& client)
        : m_client(client)
    {
    }

    /// True when no connection can be made. Calls for the same upstream at the same time share one attempt.
    bool has_ended(const endpoint& address);

    /// What comes of a new connection. One that was made is not tried anew for a second, and calls for the
    /// same address at the same time share one attempt.
    reachability reach(const endpoint& address);

private:
    http_client& m_client;
    std::unordered_map<endpoint, boost::fibers::shared_future<bool>> m_attempts;
    std::unordered_map<endpoint, boost::fibers::shared_future<reachability>> m_reaching;
    std::unordered_map<endpoint, time_point> m_accepted_at; ///< within `acceptance_ttl`
};

} // namespace cardamomstream
