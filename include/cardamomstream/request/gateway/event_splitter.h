/// Splits a stream of server-sent events, and decides which of them continue the stream of a caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomstream {

/// Why bytes of an upstream can't follow the events that the caller has.
enum class event_fault : std::uint8_t {
    none,
    without_id,       ///< an event of a resumed stream has no id
    not_after_last,   ///< its id doesn't come after that of the last event
    foreign_text,     ///< text that is no event
    incomplete_event, ///< the stream ended inside an event
};

std::string_view to_text(event_fault fault);

/// Holds the place of one caller's stream over the runs of all upstreams that contribute to it. Lines end
/// with LF, CR or CRLF. Returns complete events only, so that a resumed stream can continue after the last
/// one.
class event_splitter {
public:
    static constexpr std::size_t max_event_bytes = 1024 * 1024;

    /// The caller has the events up to this id. Call before the first run. An id without a number is ignored.
    void continue_after(std::string_view id);

    /// Discards the incomplete event. Call before each run.
    void begin_run();

    /// Adds bytes and returns the events that are now complete and may be passed on, unchanged; empty when
    /// there are none. After a fault it returns nothing until the next run.
    std::string feed(std::string_view bytes);

    /// Returns the rest of a run whose body has ended: empty lines, or text that is no event. A run that ends
    /// inside an event has been broken off, whatever frames its body: sets the fault `incomplete_event`.
    /// `declared`: its content type is that of events.
    std::string finish(bool declared);

    /// True when a run whose body has ended there ended inside an event.
    bool ends_inside_event(bool declared) const;

    /// Returns the bytes as they are; only notes whether they end an event.
    std::string pass_over(std::string bytes);

    event_fault fault() const noexcept { return m_fault; }

    /// Bytes that are held until their event is complete.
    std::size_t held_bytes() const noexcept { return m_partial_event.size() + m_held.size(); }

    /// False once the incomplete event exceeds `max_event_bytes`.
    bool within_size_limit() const noexcept { return held_bytes() <= max_event_bytes; }

    /// Id of the last complete event; empty before the first one.
    const std::string& last_id() const noexcept { return m_last_id; }

    /// Id of the first complete event of this run; empty before it.
    const std::string& first_id() const noexcept { return m_first_id; }

    /// True when this run must go on after events that the caller has.
    bool run_continues() const noexcept { return m_run_continues; }

    /// False when another run couldn't show that its events come after those that were passed on.
    bool continuable() const noexcept { return m_continuable; }

    /// True when this run has brought bytes.
    bool has_bytes() const noexcept { return m_has_bytes; }

    /// True when the bytes that were added end at an event's end, or none were.
    bool at_event_end() const noexcept;

private:
    struct event_content;

    void scan_fields(std::string_view bytes);
    /// True when the bytes of this run are, or may be, events.
    bool has_events() const;
    static event_content read_event(std::string_view event);
    std::string accept(std::string_view event);
    event_fault check(const event_content& content);

    std::string m_partial_event;
    std::string m_held; ///< comments before the first event of a run that continues
    std::string m_last_id;
    std::string m_first_id;
    event_fault m_fault = event_fault::none;
    bool m_has_bytes = false;
    bool m_run_continues = false;
    bool m_continuable = true;
    bool m_line_empty = true;
    bool m_after_cr = false;
    std::string m_field_name; ///< of the line that isn't complete, or the beginning of it
    bool m_in_value = false;  ///< behind the colon of that line
    bool m_has_event_field = false;
};

/// True for a stream of server-sent events that doesn't end with the empty line that completes an event.
bool ends_inside_event(std::string_view body);

} // namespace cardamomstream
