/// At-most-once tickets, as plain values.
///
/// A ticket is the right to run one call once. Only the process that issued it (or the successor that it
/// named while stopping) may use it, because only that process remembers whether it was used.
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

/// HMAC-SHA256 over the readable part of a ticket.
using ticket_mac = std::array<std::uint8_t, 32>;

/// Key of the MAC; drawn at process start and never sent anywhere.
using ticket_key = std::array<std::uint8_t, 32>;

/// SHA-256 over method, target and body of a request.
using request_digest = std::array<std::uint8_t, 32>;

/// One process of one VM.
struct ticket_holder {
    vm_name vm;
    incarnation process;
    friend bool operator==(const ticket_holder&, const ticket_holder&) = default;
};

/// Names one ticket in the whole fleet.
struct ticket_id {
    ticket_holder issuer;
    std::uint64_t number = 0;
    friend bool operator==(const ticket_id&, const ticket_id&) = default;
};

/// What a ticket says. Nothing of it is trusted before the issuer has checked the MAC.
struct ticket {
    ticket_id id;
    customer_name customer;
    route_name route;
    std::chrono::milliseconds run_by{}; ///< since the issuer's book was opened, by the issuer's clock
    ticket_mac mac{};
};

/// A ticket as it is given to a caller.
struct issued_ticket {
    std::string text; ///< opaque, URL-safe
    ticket_id id;
    std::chrono::milliseconds usable_for{}; ///< a run can start within this time
};

struct ticket_settings {
    std::chrono::milliseconds run_window{30'000}; ///< from issue to the last moment at which a run may start
    /// From the first byte sent to an upstream until the call has had its effect or will have none.
    std::chrono::milliseconds settle_time{10'000};
    std::chrono::milliseconds keep_answer{300'000}; ///< after the run window, for replay
    std::chrono::milliseconds clock_margin{500};    ///< largest drift between two VMs over one run window
    std::size_t max_tickets = 50'000;               ///< over all customers
    std::size_t max_tickets_per_customer = 4'096;   ///< in any state
    std::size_t max_kept_answer_bytes = 16UL * 1024 * 1024;
};

/// A whole answer of an upstream, kept for replay.
struct kept_answer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// The call may run. Ask `ticket_book::may_write` directly before the first byte to the upstream.
struct run_granted {
    ticket_id id;
    time_point run_by; ///< goes to the upstream as the deadline
};

/// The call has run; this is its answer.
struct replay_answer {
    kept_answer answer;
};

/// Another copy of the call runs now. After `retry_after` no copy can still take effect.
struct still_running {
    std::chrono::milliseconds retry_after{};
};

/// The ticket belongs to another process, which has to decide.
struct pass_on {
    ticket_holder holder;
};

/// What to do with a call that carries a ticket. An `error` is the final answer for the caller:
/// `ticket_refused` with outcome `not_run` or `unknown`, or `outcome_unknown` with `retry_after`.
using begin_decision = std::variant<run_granted, replay_answer, still_running, pass_on, error>;

enum class ticket_state { issued, running, done, unknown };

/// What a successor offers to a VM that stops. Used for one `hand_over` only.
struct hand_over_invitation {
    ticket_holder successor;
    std::uint64_t number = 0;
};

/// One ticket on its way to a successor. Times are what is left of them.
struct handed_ticket {
    ticket_id id;
    customer_name customer;
    route_name route;
    ticket_mac mac{};
    ticket_state state = ticket_state::issued;
    std::optional<request_digest> digest; ///< set once a request has used the ticket
    std::optional<kept_answer> answer;    ///< set for a call that is done and whose answer is kept
    std::chrono::milliseconds run_by_left{};
    std::chrono::milliseconds end_left{};
};

/// Unused tickets and kept answers of a VM that stops.
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
