/// Value types of the fleet-wide allowance: shares of a token bucket, loans between VMs and the limits that
/// bound them. Independent of the transport.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace cardamomstream {

/// A part of one customer's token bucket. Parts whose rates, bursts and levels sum to those of one bucket
/// admit no more than that bucket would.
struct bucket_share {
    token_rate rate;
    double burst = 0; ///< tokens
    double level = 0; ///< tokens that can be spent now
};

/// Limits and policy of the allowance. Must be the same on every VM, except for the summary sizes.
struct allowance_limits {
    /// Duration of a loan taken in advance of demand, and the longest that is granted.
    std::chrono::milliseconds loan_duration{10'000};
    /// Duration of a loan for waiting requests.
    std::chrono::milliseconds short_loan_duration{2'000};
    /// Maximum relative error of a clock's rate; parts refill more slowly by this fraction.
    double clock_error = 0.0005;
    /// How long before the end of a loan the borrower stops using it; covers the drift between two clocks
    /// over one loan and over `max_reservation_duration`.
    std::chrono::milliseconds drift_margin{250};
    /// The caller delivers no token of a reservation later than this after its admission.
    std::chrono::milliseconds max_reservation_duration{300'000};
    /// A loan request without an answer counts as lost after this time.
    std::chrono::milliseconds loan_timeout{1'000};
    /// How long a VM that lent less than expected is not asked again for the same customer.
    std::chrono::milliseconds refusal_backoff{100};
    /// Time constant of the exponential demand average.
    std::chrono::milliseconds demand_window{5'000};
    /// How long the borrowed or kept allowance should cover the demand.
    std::chrono::milliseconds planning_horizon{2'000};
    /// Fraction of a VM's own part that may be lent; a restarted process does not use it until its restart
    /// queries are answered (see `restart_query`).
    double lendable_fraction = 1.0;
    /// Multiple of the measured demand that is borrowed or kept.
    double headroom_factor = 1.2;
    /// Maximum unanswered loan requests for each customer.
    std::size_t max_pending_loans = 16;
    /// Maximum borrowed and maximum lent loans for each customer.
    std::size_t max_loans = 256;
    /// Maximum peers whose spare allowance is stored for each customer.
    std::size_t max_known_peers = 8;
    /// Maximum customers in one `demand_summary`.
    std::size_t max_summary_customers = 16;
};

/// Identifies a loan: the borrower numbers its requests, and its incarnation distinguishes it from earlier
/// processes on the same VM.
struct loan_id {
    vm_name borrower;
    incarnation borrower_process;
    std::uint64_t number = 0;
    friend auto operator<=>(const loan_id&, const loan_id&) = default;
};

/// Asks `lender` for a part of its share. A level without rate and burst is transferred permanently.
struct loan_request {
    loan_id id;
    vm_name lender;
    customer_name customer;
    bucket_share wanted;
    token_count needed = 0; ///< charges of the waiting requests; zero: in advance of demand
    std::chrono::milliseconds duration{0};
};

/// What the lender has subtracted from its own share; all zero if it lends nothing.
struct loan_answer {
    loan_id id;
    vm_name lender;
    customer_name customer;
    bucket_share lent;
    std::chrono::milliseconds duration{0};
};

/// Reports to the lender that the borrower no longer uses the loan, apart from `burst_kept` tokens of burst
/// that cover answers still running. If the message is lost, the lender gets its burst back later and the
/// returned level not at all.
struct loan_return {
    loan_id id;
    vm_name lender;
    customer_name customer;
    double burst_kept = 0; ///< tokens; never increases from one return of a loan to the next
    double level = 0;      ///< tokens returned; the lender adds them with the first return that arrives
    bool unused = false;   ///< the answer came too late or never: the whole loan is returned
};

/// A starting process asks every other VM which loans from its predecessors it still holds. A VM that answers
/// cancels its own unanswered loan requests to `vm`, so that it ignores a late answer of a predecessor.
struct restart_query {
    vm_name vm;
    incarnation process;
};

/// A loan lent by a predecessor and still in use.
struct held_loan {
    loan_id id;
    customer_name customer;
    bucket_share share; ///< level is zero
    std::chrono::milliseconds rate_left{0};
    std::chrono::milliseconds burst_left{0};
};

/// Answer to a `restart_query`.
struct restart_answer {
    vm_name from;
    vm_name to;
    incarnation to_process;
    std::vector<held_loan> held;
};

/// Spare allowance and demand of one customer at one VM.
struct customer_demand {
    customer_name customer;
    token_rate demand;
    bucket_share spare; ///< what `lend` would grant now
};

/// Sent to the peers with a heartbeat: the customers with the most spare allowance, at most
/// `max_summary_customers`. A customer left out may have spare allowance too.
struct demand_summary {
    vm_name vm;
    incarnation process;
    std::vector<customer_demand> customers;
};

/// A range of versions, both ends included, in which no VM's part of any customer's allowance changed.
struct unchanged_parts_range {
    version_number since = 0;
    version_number until = 0;
};

/// What the membership knows about the versions in force on the other VMs.
struct applied_versions {
    /// Highest `allowance_book::applied_version` reported for each VM, by itself or by others.
    std::map<vm_name, version_number> seen;
    /// VMs on the platform's list, or removed from it for less than the list's maximum delay. While no list
    /// is known: the roster.
    std::set<vm_name> listed;
    /// `allowance_book::unchanged_parts` of some peers: a starting process need not wait for versions that
    /// differ only in other rules.
    std::vector<unchanged_parts_range> unchanged;
};

/// Permits one request to deliver tokens to its customer. The caller passes it to `settle` once.
struct reservation {
    customer_name customer;
    token_count charge = 0;   ///< prompt plus maximum answer length
    token_count consumed = 0; ///< of these, already delivered
    time_point expires;       ///< no token is delivered from this time on, even after a pause of the process
};

} // namespace cardamomstream
