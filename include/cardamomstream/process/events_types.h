/// Events of the time line, as plain values.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cardamomstream {

/// What happened. `word_of` gives the name that is written, such as "request_routed".
enum class event_kind {
    process_started,
    process_stopping,
    process_stopped,
    configuration_accepted,
    configuration_refused,
    configuration_behind, ///< a peer or the service holds a newer version
    vm_suspected,
    vm_alive,
    vm_left,
    list_changed,
    request_received,
    request_admitted,
    request_refused,
    request_queued,
    request_routed,
    request_forwarded,
    forward_received,
    request_first_byte,
    request_finished,
    request_cancelled,
    request_retried,
    request_hedged,
    key_withdrawn, ///< a stream ended because its key was withdrawn
    loan_asked,
    loan_granted,
    loan_ended,
    loan_refused,
    ticket_issued,
    ticket_started,
    ticket_finished,
    ticket_refused,
    ticket_passed_on,
    ticket_handed_over,
    upstream_suspected,
    upstream_restored,
    upstream_leaving,
    unknown, ///< written by a process of another release
};

/// Names one event in the whole fleet.
struct event_ref {
    vm_name vm;
    incarnation process;
    std::uint64_t sequence = 0; ///< from 1 in each process, without gaps
    // clang-tidy 14 takes the "< 0" that the compiler adds to a defaulted comparison for a null pointer.
    friend auto operator<=>(const event_ref&, const event_ref&) = default; // NOLINT(modernize-use-nullptr)
};

/// Value of a field.
using event_field_value = std::variant<std::string, std::int64_t, double, bool>;

/// One detail of an event, such as the upstream that was chosen or the reason of a refusal.
/// A field never holds a caller's key.
struct event_field {
    std::string name;
    event_field_value value;
    friend bool operator==(const event_field&, const event_field&) = default;
};

/// What the code that decides says about an event; the log adds who, when and the number.
struct event_draft {
    event_kind kind = event_kind::unknown;
    request_id request;             ///< empty when it belongs to no request
    std::optional<event_ref> cause; ///< the event on another VM that this one follows
    std::vector<event_field> fields;
};

/// One event.
struct event {
    event_ref ref;
    time_point at; ///< boot clock of its own VM
    std::chrono::system_clock::time_point wall;
    event_kind kind = event_kind::unknown;
    request_id request;
    std::optional<event_ref> cause;
    std::vector<event_field> fields;
    friend bool operator==(const event&, const event&) = default;
};

/// Part of a log.
struct event_page {
    std::vector<event> events; ///< in ascending sequence
    std::uint64_t next = 0;    ///< pass it to the next call of `event_log::since`
    std::uint64_t lost = 0;    ///< events between the asked sequence and the oldest that is still kept
};

} // namespace cardamomstream
