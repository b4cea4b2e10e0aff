/// Value types of at-most-once tickets.
///
/// A ticket is the right to run one call once. Only the process that issued it (or the successor that it
/// named while stopping) may accept it, because only that process records whether it was used.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cardamomstream {

/// HMAC-SHA256 over the payload of a ticket, that is every field except the MAC.
using ticket_mac = std::array<std::uint8_t, 32>;

/// Key of the MAC: generated at process start, never leaves the process.
using ticket_key = std::array<std::uint8_t, 32>;

/// SHA-256 over the method, target and body of a request.
using request_digest = std::array<std::uint8_t, 32>;

/// A process of a VM that holds the records of tickets.
struct ticket_holder {
    vm_name vm;
    incarnation process;
    friend bool operator==(const ticket_holder&, const ticket_holder&) = default;
};

/// Identifies a ticket across the whole fleet.
struct ticket_id {
    ticket_holder issuer;
    std::uint64_t number = 0;
    friend bool operator==(const ticket_id&, const ticket_id&) = default;
};

/// Contents of a ticket. No field is trusted until the issuer has verified the MAC.
struct ticket {
    ticket_id id;
    customer_name customer;
    route_name route;
    std::chrono::milliseconds run_by{}; ///< since the epoch of the issuer's book, by the issuer's clock
    ticket_mac mac{};
};

/// A ticket as returned to a caller.
struct issued_ticket {
    std::string text; ///< encoded ticket: opaque, URL-safe
    ticket_id id;
    std::chrono::milliseconds usable_for{}; ///< a run can start within this time
};

struct ticket_settings {
    std::chrono::milliseconds run_window{30'000}; ///< from issue to the last moment at which a run may start
    /// Upper bound from the first byte sent to an upstream until the call has taken effect or never will.
    std::chrono::milliseconds settle_time{10'000};
    std::chrono::milliseconds keep_answer{300'000}; ///< for replay, counted from the end of the run window
    std::chrono::milliseconds clock_margin{500};    ///< largest drift between two VMs over one run window
    std::size_t max_tickets = 50'000;               ///< of all customers together
    std::size_t max_tickets_per_customer = 4'096;   ///< in whatever state
    std::size_t max_kept_answer_bytes = 16UL * 1024 * 1024;
};

/// Response of an upstream, kept for replay.
struct kept_answer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool ends_with_connection = false; ///< the upstream gave the body neither a length nor chunks
};

/// The call may run. Call `ticket_book::authorise_write` directly before the first byte to the upstream.
struct run_granted {
    ticket_id id;
    time_point run_by; ///< sent to the upstream as the deadline
};

/// The call has already run; this is its answer.
struct replay_answer {
    kept_answer answer;
};

/// Another copy of the call is running. After `retry_after` no copy can still take effect.
struct still_running {
    std::chrono::milliseconds retry_after{};
};

/// Another process holds the record of the ticket; the call is passed on to it.
struct pass_on {
    ticket_holder holder;
};

/// How to proceed with a call that carries a ticket. An `error` is the final response to the caller:
/// `ticket_refused` with outcome `not_run` or `unknown`, or `outcome_unknown` with `retry_after`.
using begin_decision = std::variant<run_granted, replay_answer, still_running, pass_on, error>;

enum class ticket_state { issued, running, done, unknown };

/// Issued by a successor to a stopping VM; authorises one `ticket_book::hand_over`.
struct hand_over_invitation {
    ticket_holder successor;
    std::uint64_t number = 0;
};

/// A ticket in transfer to a successor. Times are remaining durations.
struct handed_ticket {
    ticket_id id;
    customer_name customer;
    route_name route;
    ticket_mac mac{};
    ticket_state state = ticket_state::issued;
    std::optional<request_digest> digest; ///< set once a request has used the ticket
    std::optional<kept_answer> answer;    ///< set for a finished call whose answer is kept
    std::chrono::milliseconds run_by_left{};
    std::chrono::milliseconds end_left{};
};

/// The tickets, with their kept answers, that a stopping VM transfers to its successor.
struct hand_over_message {
    ticket_holder leaver;
    hand_over_invitation invitation; ///< as received from the successor
    std::vector<handed_ticket> tickets;
};

} // namespace cardamomstream

template <>
struct std::hash<cardamomstream::ticket_id> {
    std::size_t operator()(const cardamomstream::ticket_id& value) const noexcept
    {
        return std::hash<std::uint64_t>{}(value.issuer.process.value * 31U + value.number);
    }
};
