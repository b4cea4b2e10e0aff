/// The events of one process, kept in a bounded ring.
#pragma once

#include "cardamomstream/process/events_types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include <boost/circular_buffer.hpp>

namespace cardamomstream {

/// Longest text of a field; what is longer is cut.
inline constexpr std::size_t max_event_text_bytes = 512;

/// Thread-safe log of one process. When it is full the oldest event goes.
class event_log {
public:
    /// `capacity` is the number of events kept, at least 1.
    event_log(vm_name vm, incarnation process, std::size_t capacity);

    /// Appends an event and returns its name, which a message to another VM carries as the cause of what
    /// follows there. A text that holds a key as `new_key` makes them is replaced as a whole.
    event_ref append(event_draft draft, time_point now, std::chrono::system_clock::time_point wall);

    /// At most `limit` events after `sequence`; 0 asks from the oldest.
    event_page since(std::uint64_t sequence, std::size_t limit) const;

private:
    const vm_name m_vm;
    const incarnation m_process;
    mutable std::mutex m_mutex;
    boost::circular_buffer<event> m_events;
    std::uint64_t m_last_sequence = 0;
};

} // namespace cardamomstream
