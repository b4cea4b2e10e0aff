/// Limit on the connections that one or several listeners have open.
#pragma once

#include "cardamomstream/core/boot_clock.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomstream {

/// An open connection that may be closed to make room for another one.
struct replaceable_connection {
    time_point began_at;
    std::function<void()> close;
};

/// Counts the connections of listeners. All of them run on one traffic group, and are added before the first
/// connection is. The counts are thread safe.
class connection_limit {
public:
    /// Returns the connection of a listener that is the first to be closed; called on the thread with the
    /// given index, for the connections of that thread.
    using search = std::function<std::optional<replaceable_connection>(std::size_t thread)>;

    explicit connection_limit(std::size_t max_connections)
        : m_max_connections(max_connections)
    {
    }

    void add_listener(search find) { m_listeners.push_back(std::move(find)); }

    /// Counts a connection. False when it is one too many; it counts all the same.
    bool add() noexcept { return ++m_open <= m_max_connections; }
    void remove() noexcept { --m_open; }
    std::size_t open() const noexcept { return m_open; }

    /// Closes the connection of all listeners, on this thread, that began first among those that may be
    /// closed. False when there is none. Call on that thread.
    bool close_one(std::size_t thread) const;

private:
    std::size_t m_max_connections;
    std::atomic<std::size_t> m_open = 0;
    std::vector<search> m_listeners;
};

} // namespace cardamomstream
