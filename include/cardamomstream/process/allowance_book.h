/// One VM's share of the allowance of every customer, and its decisions to admit, lend and borrow.
///
/// Promise: over all VMs together a customer receives at most burst + rate * w tokens in every window of
/// length w, whatever messages are lost, late or doubled and whatever processes stop, pause or restart.
///
/// Argument. For one VM let X = level + reserved tokens not yet received. Every change keeps X at or below
/// the VM's burst, X grows with the VM's rate only, and each token received lowers it by one. If the bursts
/// of all VMs sum to at most the whole burst at every instant, and the rates to the whole rate, then in a
/// window the tokens received are X(start) - X(end) + growth, at most burst + rate * w. (A bucket that
/// refills to the brim while a reservation is open breaks this: the late answer and the refilled level arrive
/// together.) So each transfer takes off at its source before it adds at its target:
/// - A lender takes (rate, burst, level) off before it answers. The borrower drops the rate at (time it sent
///   the request + duration - drift margin), the lender takes it back at its own (lending + duration).
/// - Burst that still backs answers on their way when a loan ends stays with the borrower, at no rate and no
///   level, and the lender takes burst back only when the borrower says how little it keeps, or when
///   `longest_reservation` more has passed, after which no answer that it backed can be running. While any
///   burst is kept, the borrower's level is zero, so it admits nothing that could outlive that time.
/// - A loan may be passed on until the loan that it comes from ends, so the lender's wait covers both.
/// - After a change of the rules the own part is the least of all versions that may be in force. A VM is
/// counted
///   as running a version only once its loans given and its open answers fit into that version's part. Then
///   every VM keeps within its part of the oldest version that any VM is counted for. A VM that skipped
///   version numbers does not know those parts: it holds nothing until nobody can run them, or until a peer
///   tells that they change no part (`stable_versions`). So versions are numbered without gaps.
/// - A process that starts holds nothing of what its predecessor may have lent until every other VM has said
/// what
///   it still holds of it, or until the longest loan with its longest answer has passed.
///
/// Not thread-safe; the host locks it. Costs for each VM are in docs/design/allowance.md.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/allowance_types.h"
#include "cardamomstream/version/rules_types.h"

#include <memory>
#include <optional>
#include <vector>

namespace cardamomstream {

/// Decides for one process. `now` never runs backwards between two calls.
class allowance_book {
public:
    /// Every part starts at level zero.
    allowance_book(vm_name self, incarnation self_process, const allowance_limits& limits,
                   time_point started);
    ~allowance_book();
    allowance_book(allowance_book&&) noexcept;
    allowance_book& operator=(allowance_book&&) noexcept;
    allowance_book(const allowance_book&) = delete;
    allowance_book& operator=(const allowance_book&) = delete;

    /// Takes a version of the rules, or new knowledge about the versions of the others with the same rules.
    /// Older rules than the last are ignored, their knowledge is used.
    /// A process that has just started holds no part until every listed VM has been seen to run its version.
    void apply(const rules_snapshot& published, const applied_versions& others, time_point now);

    /// The version into whose parts this VM fits; what the membership tells others. Zero: none yet.
    version_number applied_version(time_point now);

    /// Versions that give every VM the same parts as the last one; what the membership tells others.
    unchanged_parts_range unchanged_parts() const;

    /// Reserves `charge` tokens (prompt and largest answer).
    /// Errors, all "not run": not_found (no such customer), no_permitted_region (this VM's region is outside
    /// the customer's residency), invalid_argument (charge not positive, or above the customer's whole burst,
    /// so that no waiting helps), allowance_exhausted (with retry_after; `plan_loan` may help sooner).
    result<reservation> admit(const customer_name& customer, token_count charge, time_point now);

    /// Tokens of the reservation have been passed on; makes room for refill while a long answer runs.
    void consume(reservation& open, token_count tokens, time_point now);

    /// Ends the reservation: `used` tokens in all were passed on, the rest is given back. A second call does
    /// nothing.
    void settle(reservation& open, token_count used, time_point now);

    /// The next loan to ask for so that the waiting requests of a customer can be admitted; `needed` is the
    /// sum of their charges (zero: ahead of need, from the demand seen). Call until it returns nothing: a
    /// large request gathers from several lenders at once.
    std::optional<loan_request> plan_loan(const customer_name& customer, token_count needed, time_point now);

    /// Loans worth asking for ahead of need, over all customers; at most `max_requests`.
    std::vector<loan_request> plan_loans_ahead(std::size_t max_requests, time_point now);

    /// Answers a request for a loan; a repeated request gets the same answer while the loan runs.
    loan_answer lend(const loan_request& request, time_point now);

    /// Takes a loan; ignores what was not asked for, arrived before, or comes too late.
    void accept(const loan_answer& answer, time_point now);

    /// Takes back a loan that the borrower has ended.
    void accept(const loan_return& returned, time_point now);

    /// Returns to send; each is handed out once.
    std::vector<loan_return> take_returns();

    /// Question to send to every listed VM after the start, until `restarting` is false.
    restart_query make_restart_query() const;
    bool restarting() const;
    /// Answers the question of a process that has started.
    restart_answer answer_restart(const restart_query& query, time_point now);
    /// Takes the answer to the own question.
    void accept(const restart_answer& answer, time_point now);

    /// Spare allowance to tell the peers.
    demand_summary summarise(time_point now);
    /// Remembers the spare allowance of a peer.
    void record_peer_summary(const demand_summary& peer, time_point now);

    /// Processes what has ended by `now`. Call at least once a second: lenders wait for the returns.
    void advance(time_point now);

    /// Share held now, loans included; for metrics and tests. Empty if the customer is unknown.
    std::optional<bucket_share> share(const customer_name& customer, time_point now);

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace cardamomstream
