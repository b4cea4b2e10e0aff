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

    // Calls of one kind for the same upstream at the same time share one attempt.

    /// What comes of a new connection after another one broke.
    reachability after_break(const endpoint& address);

    /// True when no connection can be made, or it is closed at once.
    bool has_ended(const endpoint& address) { return after_break(address) != reachability::accepts; }

    /// What comes of a new connection. One that was made isn't tried anew for a second.
    reachability reach(const endpoint& address);

private:
    using attempts = std::unordered_map<endpoint, boost::fibers::shared_future<reachability>>;

    /// Takes part in the attempt that is under way, or makes one.
    reachability attempt(attempts& running, const endpoint& address, std::chrono::milliseconds settle_time);

    http_client& m_client;
    attempts m_ended_attempts;
    attempts m_reach_attempts;
    std::unordered_map<endpoint, time_point> m_made_at; ///< within `made_ttl`
};

} // namespace cardamomstream
