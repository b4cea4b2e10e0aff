/// Tickets that one process holds, with their states.
#pragma once

#include "cardamomstream/request/ticket_types.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace cardamomstream {

/// The record of the tickets that this process issued or took over. Not thread-safe. Bounded by
/// `ticket_settings`.
///
/// A call goes `begin` -> `may_write` -> first byte to the upstream -> `finish` or `fail_unknown`;
/// `fail_not_run` instead if no byte has left.
class ticket_book {
public:
    /// `opened` is the zero of the run-by times written into tickets.
    ticket_book(ticket_holder self, ticket_key key, ticket_settings settings, time_point opened);

    /// Gives a new ticket. Errors: `overloaded` with `retry_after`, `stopping`; both not run.
    result<issued_ticket> issue(const customer_name& customer, const route_name& route, time_point now);

    /// Decides what to do with a call; on `run_granted` the ticket is running. `customer` is the one whose
    /// key came with the call, `route` the one that it goes to.
    begin_decision begin(std::string_view text, const customer_name& customer, const route_name& route,
                         const request_digest& digest, time_point now);

    /// The check directly before the first byte to the upstream. Success once per run: from then on the call
    /// counts as possibly run. Error `ticket_refused`, not run: the run-by time has passed and the run is
    /// over. Error `outcome_unknown`: a byte may have left before, so there is no second try.
    result<void> may_write(const ticket_id& id, time_point now);

    /// The run is over with a whole answer, which is kept for replay while there is room.
    result<void> finish(const ticket_id& id, kept_answer answer, time_point now);

    /// The run is over and its outcome is not known. Gives the error for the caller.
    error fail_unknown(const ticket_id& id, time_point now);

    /// The run is over and no byte has left; the ticket can be used again until its run-by time. Gives the
    /// error for the caller, which is `outcome_unknown` if `may_write` had granted the first byte.
    error fail_not_run(const ticket_id& id, const error& cause, time_point now);

    /// Stops giving tickets; those that exist keep working.
    void stop_issuing() noexcept;

    /// Opens this book for the tickets of a VM that stops.
    hand_over_invitation invite(time_point now);

    /// Moves every ticket that is not running to the successor and never serves it here again. Can be called
    /// again with a new invitation once running calls have finished. Stops issuing.
    hand_over_message hand_over(const hand_over_invitation& invitation, time_point now);

    /// Takes the tickets of a VM that stops; gives how many. Errors: `invalid_argument` for an invitation
    /// that is not open in this book (used before, too old or of another process).
    result<std::size_t> take_over(const hand_over_message& value, time_point now);

    /// Drops what has ended. Calls do this as well; a timer may call it.
    void expire(time_point now);

    std::optional<ticket_state> state_of(const ticket_id& id) const;
    std::size_t size() const noexcept;
    std::size_t running() const noexcept;
    std::size_t kept_answer_bytes() const noexcept;
    const ticket_holder& self() const noexcept;

    /// Longest time after which no ticket that exists now can still take effect, by any VM's clock. This is
    /// the `retry_after` of every answer whose issuer could not be asked.
    std::chrono::milliseconds longest_settle() const noexcept;

private:
    struct entry {
        customer_name customer;
        route_name route;
        ticket_mac mac{};
        ticket_state state = ticket_state::issued;
        bool byte_may_have_left = false;
        std::optional<request_digest> digest;
        std::optional<kept_answer> answer;
        time_point run_by;
        time_point end;
    };
    struct moved_ticket {
        ticket_holder successor;
        time_point end;
    };
    struct open_invitation {
        time_point made_at;
    };

    begin_decision begin_known(const ticket_id& id, entry& found, const customer_name& customer,
                               const route_name& route, const request_digest& digest, time_point now);
    begin_decision begin_absent(const ticket& value) const;
    std::optional<error> check_use(const entry& found, const customer_name& customer, const route_name& route,
                                   const request_digest& digest, time_point now) const;
    begin_decision answer_done(const entry& found, time_point now) const;
    std::chrono::milliseconds settle_left(const entry& found, time_point now) const;
    error unknown_error(const entry& found, time_point now) const;
    std::optional<error> check_room(const customer_name& customer, time_point now) const;
    entry* find(const ticket_id& id);
    void insert(const ticket_id& id, entry value);
    void take(const handed_ticket& handed, time_point base);
    void forget_end(const ticket_id& id, const entry& found);
    void set_end(const ticket_id& id, entry& found, time_point end);
    void erase(const ticket_id& id);
    void end_run(entry& found, ticket_state state);
    void keep(const ticket_id& id, entry& found, kept_answer answer);
    void drop_answer(entry& found);
    bool has_answer(const ticket_id& id) const;

    ticket_holder m_self;
    ticket_key m_key;
    ticket_settings m_settings;
    time_point m_opened;
    std::uint64_t m_last_number = 0;
    std::uint64_t m_last_invitation = 0;
    bool m_issuing = true;
    std::unordered_map<ticket_id, entry> m_entries;
    std::multimap<time_point, ticket_id> m_by_end;
    std::unordered_map<customer_name, std::multiset<time_point>> m_ends_by_customer;
    std::unordered_map<ticket_id, moved_ticket> m_moved;
    std::map<std::uint64_t, open_invitation> m_invitations;
    std::deque<ticket_id> m_answers_by_age;
    std::size_t m_answer_bytes = 0;
    std::size_t m_running = 0;
};

} // namespace cardamomstream
