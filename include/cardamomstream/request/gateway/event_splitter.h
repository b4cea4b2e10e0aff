/// Splits a stream of server-sent events at event boundaries.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamomstream {

/// Takes the bytes of a stream, whose lines end with LF, CR or CRLF, and returns complete events only, so
/// that a resumed stream can continue after the last complete event.
class event_splitter {
public:
    static constexpr std::size_t max_event_bytes = 1024 * 1024;

    /// Adds bytes and returns the events that are now complete, unchanged; empty when there are none.
    std::string feed(std::string_view bytes);

    /// Returns the bytes as they are; only notes whether they end an event.
    std::string pass_over(std::string bytes);

    /// False once the incomplete event exceeds `max_event_bytes`.
    bool within_size_limit() const noexcept { return m_partial_event.size() <= max_event_bytes; }

    /// Id of the last complete event; empty before the first one.
    const std::string& last_id() const noexcept { return m_last_id; }

    /// Id of the first complete event since `discard_partial`; empty before it.
    const std::string& first_id() const noexcept { return m_first_id; }

    /// True when the bytes that were added end at an event's end, or none were.
    bool at_event_end() const noexcept;

    /// Bytes of the incomplete event.
    const std::string& partial_event() const noexcept { return m_partial_event; }

    /// Discards the incomplete event. Call before the stream is resumed elsewhere.
    void discard_partial()
    {
        m_partial_event.clear();
        m_first_id.clear();
        m_line_empty = true;
        m_after_cr = false;
    }

private:
    void update_last_id(std::string_view event);

    std::string m_partial_event;
    std::string m_last_id;
    std::string m_first_id;
    bool m_line_empty = true;
    bool m_after_cr = false;
};

} // namespace cardamomstream
