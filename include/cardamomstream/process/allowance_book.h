/// One VM's share of every customer's fleet-wide token bucket: decides on admission, lending and borrowing.
///
/// Invariant: over all VMs together a customer consumes at most burst + rate * w tokens in every window of
/// length w, whatever messages are lost, delayed or duplicated and whatever processes stop, pause or restart.
///
/// Proof sketch. For one VM let X = level + reserved tokens not yet consumed. Every operation keeps X at or
/// below the VM's burst, X grows only with the VM's rate, and each consumed token lowers it by one. If at
/// every instant the bursts of all VMs sum to at most the customer's burst, and the rates to at most its
/// rate, then the tokens consumed in a window are X(start) - X(end) + growth, at most burst + rate * w. (A
/// bucket that refills to its full burst while a reservation is open violates this: the tokens of the open
/// reservation and the refilled level can be consumed at the same time.) Therefore a transfer is subtracted
/// at its source before it is added at its target:
/// - A lender subtracts (rate, burst, level) before it answers. The borrower gives up the rate at (time it
///   sent the request + duration - drift margin), the lender adds it again at (its own time of lending +
///   duration).
/// - Burst that still covers running answers when a loan ends stays with the borrower, without rate or level.
///   The lender adds burst again only when the borrower reports how little it still keeps, or when
///   `max_reservation_duration` more has passed, after which no answer covered by it can be running. While
///   any such burst is kept, the borrower's level is zero, so it admits nothing that could outlive that time.
/// - Borrowed allowance may be lent on only until the loan that it comes from ends, so the lender's wait
///   covers both loans.
/// - After a change of the rules the VM's own part is the minimum over all versions that may be in force. A
///   VM counts as running a version only once its lent loans and its open reservations fit into that
///   version's part. Then every VM keeps within its part of the oldest version that any VM counts as running.
///   A VM that skipped version numbers does not know those parts: it holds nothing until no VM can be running
///   them, or until a peer reports that they change no part (`unchanged_parts_range`). Versions must
///   therefore be numbered without gaps.
/// - A process that starts holds nothing of what its predecessor may have lent until every other VM has
///   reported what it still holds of it, or until the longest loan plus the longest answer has passed.
///
/// Not thread-safe; the caller synchronises access. Costs for each VM are in docs/design/allowance.md.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/allowance_types.h"
#include "cardamomstream/version/rules_types.h"

#include <memory>
#include <optional>
#include <vector>

namespace cardamomstream {

/// The allowance of one process. `now` must not decrease between two calls.
class allowance_book {
public:
    /// Every customer's level starts at zero.
    allowance_book(vm_name self, incarnation self_process, const allowance_limits& limits,
                   time_point started);
    ~allowance_book();
    allowance_book(allowance_book&&) noexcept;
    allowance_book& operator=(allowance_book&&) noexcept;
    allowance_book(const allowance_book&) = delete;
    allowance_book& operator=(const allowance_book&) = delete;

    /// Applies a version of the rules together with the versions that the other VMs are known to run. Rules
    /// older than the current ones are ignored, `others` is used all the same.
    /// A process that has just started holds no part until every listed VM is known to run a version whose
    /// parts this process knows.
    void apply(const rules_snapshot& published, const applied_versions& others, time_point now);

    /// The newest version into whose parts this VM fits, to be sent to the other VMs. Zero: none yet.
    version_number applied_version(time_point now);

    /// False from the start, when this VM holds nothing yet, until it knows which versions the other VMs run;
    /// at most for the longest loan and the longest answer.
    bool knows_versions(time_point now) const;

    /// Versions that give every VM the same parts as the current one, to be sent to the other VMs.
    unchanged_parts_range unchanged_parts() const;

    /// Reserves `charge` tokens (prompt plus maximum answer length).
    /// Errors, all "not run": not_found (no such customer), no_permitted_region (this VM's region is outside
    /// the customer's residency), invalid_argument (charge not positive, or above the customer's burst, so
    /// that waiting cannot help), allowance_exhausted (with retry_after; `plan_loan` may help sooner).
    result<reservation> admit(const customer_name& customer, token_count charge, time_point now);

    /// Records tokens that were delivered to the customer, so that the level can refill while a long answer
    /// runs.
    void consume(reservation& open, token_count tokens, time_point now);

    /// Ends the reservation: `used` tokens in all were delivered, the rest returns to the level. A second
    /// call does nothing.
    void settle(reservation& open, token_count used, time_point now);

    /// The next loan to request so that a customer's waiting requests can be admitted; `needed` is the sum of
    /// their charges (zero: borrow in advance, based on the measured demand). Call until it returns nothing:
    /// a large request may need loans from several lenders at once.
    std::optional<loan_request> plan_loan(const customer_name& customer, token_count needed, time_point now);

    /// Loans to request in advance of demand, over all customers; at most `max_requests`.
    std::vector<loan_request> plan_loans_ahead(std::size_t max_requests, time_point now);

    /// Answers a loan request; a repeated request gets the same answer while the loan runs.
    loan_answer lend(const loan_request& request, time_point now);

    /// Adds a granted loan. Ignores answers that were not requested or have already arrived, and returns a
    /// loan whose answer comes too late.
    void accept(const loan_answer& answer, time_point now);

    /// Adds what a borrower has returned to this VM's share again.
    void accept(const loan_return& returned, time_point now);

    /// Loan returns to send to the lenders; each is returned once.
    std::vector<loan_return> take_returns();

    /// Query to send to every listed VM after the start, until `restarting` is false.
    restart_query make_restart_query() const;
    bool restarting() const;
    /// Answers the query of a process that has started.
    restart_answer answer_restart(const restart_query& query, time_point now);
    /// Processes an answer to this process's own query.
    void accept(const restart_answer& answer, time_point now);

    /// Spare allowance and demand, to be sent to the peers.
    demand_summary summarise(time_point now);
    /// Stores the spare allowance that a peer has reported.
    void record_peer_summary(const demand_summary& peer, time_point now);

    /// Processes loans and requests that have ended by `now`. Call at least once a second: lenders wait for
    /// the returns.
    void advance(time_point now);

    /// Share held now, borrowed loans included; for metrics and tests. Empty if the customer is unknown.
    std::optional<bucket_share> share(const customer_name& customer, time_point now);

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace cardamomstream
