/// Cuts a stream of server-sent events at event boundaries.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamomstream {

/// Feeds on the bytes of one run's stream; gives whole events only, so that another run can go on after the
/// last one without a half event in between.
class event_splitter {
public:
    static constexpr std::size_t max_event_bytes = 1024 * 1024;

    /// The whole events that are complete now, as sent; empty when none is.
    std::string take(std::string_view bytes);

    /// False once an event that has begun is longer than any that is held.
    bool may_go_on() const noexcept { return m_rest.size() <= max_event_bytes; }

    /// Id of the last whole event; empty before the first one.
    const std::string& last_id() const noexcept { return m_last_id; }

    /// Bytes of an event that has begun.
    const std::string& rest() const noexcept { return m_rest; }

    /// Forgets a half event, before another run goes on.
    void drop_rest() { m_rest.clear(); }

private:
    void note_ids(std::string_view events);

    std::string m_rest;
    std::string m_last_id;
};

} // namespace cardamomstream
