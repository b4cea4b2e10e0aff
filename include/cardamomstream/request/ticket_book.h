/// Records of the tickets that one process holds, with their states.
#pragma once

#include "cardamomstream/request/ticket_types.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace cardamomstream {

/// Issues tickets and records the state of every ticket that this process issued or took over. Not
/// thread-safe. Memory is bounded by `ticket_settings`.
///
/// The sequence of a call is `begin` -> `authorise_write` -> first byte to the upstream -> `finish` or
/// `fail_unknown`; `fail_not_run` instead if no byte was sent.
class ticket_book {
public:
    /// The run-by times written into tickets are counted from `epoch`.
    ticket_book(ticket_holder self, ticket_key key, ticket_settings settings, time_point epoch);

    /// Issues a new ticket. Errors, not run: `overloaded` with `retry_after`, `stopping`.
    result<issued_ticket> issue(const customer_name& customer, const route_name& route, time_point now);

    /// Decides how to proceed with a call; on `run_granted` the ticket is in state `running`. `customer` is
    /// the owner of the key sent with the call, `route` the route that the call addresses.
    begin_decision begin(std::string_view text, const customer_name& customer, const route_name& route,
                         const request_digest& digest, time_point now);

    /// Authorises the first byte to the upstream; called directly before that byte is sent. Succeeds once per
    /// run; from then on the call counts as possibly run. Error `ticket_refused`, not run: the run-by time
    /// has passed, and the run has ended. Error `outcome_unknown`: a byte may already have been sent, so the
    /// call is not tried again.
    result<void> authorise_write(const ticket_id& id, time_point now);

    /// Ends a run with a complete answer, which is kept for replay within `max_kept_answer_bytes`.
    result<void> finish(const ticket_id& id, kept_answer answer, time_point now);

    /// Ends a run whose outcome is unknown. Returns the error for the caller.
    error fail_unknown(const ticket_id& id, time_point now);

    /// Ends a run of which no byte was sent; the ticket can be used again until its run-by time. Returns the
    /// error for the caller, which is `outcome_unknown` if `authorise_write` had succeeded.
    error fail_not_run(const ticket_id& id, const error& cause, time_point now);

    /// Refuses to issue further tickets; existing tickets stay valid.
    void stop_issuing() noexcept;

    /// Invites a stopping VM to hand its tickets over to this process.
    hand_over_invitation invite(time_point now);

    /// Moves every ticket that is not running to the successor; later calls with them are passed on there.
    /// Can be called again with a new invitation once running calls have finished. Stops issuing.
    hand_over_message hand_over(const hand_over_invitation& invitation, time_point now);

    /// Takes over the tickets of a stopping VM and returns their number. Errors: `invalid_argument` for an
    /// invitation that is not open in this book (already used, too old or issued by another process).
    result<std::size_t> take_over(const hand_over_message& value, time_point now);

    /// Drops expired records. Other calls do so too; a timer may call it in between.
    void expire(time_point now);

    std::optional<ticket_state> state_of(const ticket_id& id) const;
    std::size_t size() const noexcept;
    std::size_t running() const noexcept;
    std::size_t kept_answer_bytes() const noexcept;
    const ticket_holder& self() const noexcept;

    /// Time after which no ticket that exists now can still take effect, by any VM's clock. Used as the
    /// `retry_after` of every call whose issuer could not be reached.
    std::chrono::milliseconds max_settle_time() const noexcept;

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
        time_point created_at;
    };

    begin_decision begin_recorded(const ticket_id& id, entry& found, const customer_name& customer,
                                  const route_name& route, const request_digest& digest, time_point now);
    /// Whether the ticket's values are those that were issued. Of a ticket that was taken over, the run-by
    /// time in the text is not checked; the record's counts.
    bool is_genuine(const ticket& value, const entry& found) const;
    begin_decision begin_unrecorded(const ticket& value) const;
    std::optional<error> check_use(const entry& found, const customer_name& customer, const route_name& route,
                                   const request_digest& digest, time_point now) const;
    begin_decision answer_done(const entry& found, time_point now) const;
    std::chrono::milliseconds settle_time_left(const entry& found, time_point now) const;
    error outcome_unknown_error(const entry& found, time_point now) const;
    std::optional<error> check_capacity(const customer_name& customer, time_point now) const;
    entry* find(const ticket_id& id);
    void insert(const ticket_id& id, entry value);
    void insert_handed_over(const handed_ticket& handed, time_point time_base);
    void erase_end(const ticket_id& id, const entry& found);
    void set_end(const ticket_id& id, entry& found, time_point end);
    void erase(const ticket_id& id);
    void end_run(entry& found, ticket_state state);
    void store_answer(const ticket_id& id, entry& found, kept_answer answer);
    void drop_answer(entry& found);
    bool has_answer(const ticket_id& id) const;

    ticket_holder m_self;
    ticket_key m_key;
    ticket_settings m_settings;
    time_point m_epoch;
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
