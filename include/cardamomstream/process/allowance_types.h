/// Plain values of the fleet-wide allowance: shares of a token bucket, loans between VMs and the limits that
/// bound them. How they travel is decided elsewhere.
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

/// A part of one customer's token bucket. Parts whose rates, bursts and levels sum to a whole bucket never
/// admit more than the whole.
struct bucket_share {
    token_rate rate;
    double burst = 0; ///< tokens
    double level = 0; ///< tokens that can be spent now
};

/// Bounds and policy of the allowance. The same on every VM, except for the summary sizes.
struct allowance_limits {
    /// Duration of a loan ahead of need, and the longest that is granted.
    std::chrono::milliseconds loan_duration{10'000};
    /// Duration of a loan for requests that wait.
    std::chrono::milliseconds short_loan_duration{2'000};
    /// Largest relative error of a clock's rate; parts refill slower by it.
    double clock_error = 0.0005;
    /// By how much a borrower stops before the end of a loan; covers the drift of two clocks over one loan
    /// and over `longest_reservation`.
    std::chrono::milliseconds drift_margin{250};
    /// The host passes on no token of a reservation after this time from its admission.
    std::chrono::milliseconds max_reservation_duration{300'000};
    /// After this time a request for a loan counts as lost.
    std::chrono::milliseconds loan_timeout{1'000};
    /// For how long a VM that lent nothing is not asked again for the same customer.
    std::chrono::milliseconds refusal_backoff{100};
    /// Time constant of the demand average.
    std::chrono::milliseconds demand_window{5'000};
    /// Time for which borrowed or kept allowance should last.
    std::chrono::milliseconds planning_horizon{2'000};
    /// Share of a part that may be out on loan; a process that starts holds it back (see `restart_query`).
    double lendable_fraction = 1.0;
    /// Multiple of the seen demand that is borrowed or kept.
    double headroom_factor = 1.2;
    /// Requests for loans on their way at a time, for each customer.
    std::size_t max_pending_loans = 16;
    /// Loans held or given at a time, for each customer.
    std::size_t max_loans = 256;
    /// Peers whose spare allowance is remembered, for each customer.
    std::size_t max_known_peers = 8;
    /// Customers named in one `demand_summary`.
    std::size_t max_summary_customers = 16;
};

/// Identity of a loan: the borrower numbers its requests, the incarnation tells it from its predecessors.
struct loan_id {
    vm_name borrower;
    incarnation borrower_process;
    std::uint64_t number = 0;
    friend auto operator<=>(const loan_id&, const loan_id&) = default;
};

/// Asks `lender` for a part of its share. A level alone is a transfer for good.
struct loan_request {
    loan_id id;
    vm_name lender;
    customer_name customer;
    bucket_share wanted;
    token_count needed = 0; ///< tokens of the requests that wait for it; zero: ahead of need
    std::chrono::milliseconds duration{0};
};

/// What the lender took off its own part before it answered; all zero when it lends nothing.
struct loan_answer {
    loan_id id;
    vm_name lender;
    customer_name customer;
    bucket_share lent;
    std::chrono::milliseconds duration{0};
};

/// Tells the lender that the borrower no longer uses the loan, apart from `burst_kept` tokens of burst that
/// back answers still on their way. Only saves waiting: a lost one costs the lender time.
struct loan_return {
    loan_id id;
    vm_name lender;
    customer_name customer;
    double burst_kept = 0; ///< tokens; never grows between two returns of one loan
    double level = 0;      ///< tokens given back, added with the first return that arrives
    bool unused = false;   ///< the answer came too late or never: the whole loan comes back
};

/// A process that starts asks every other VM which loans of its predecessors it still holds. Whoever answers
/// gives up the loans that it has asked of `vm` and not yet received, so a predecessor's late answer is
/// ignored.
struct restart_query {
    vm_name vm;
    incarnation process;
};

/// One loan of a predecessor that is still in use.
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
    bucket_share spare; ///< what `lend` would give now
};

/// What a VM tells its peers with a heartbeat: the customers with most spare allowance, at most
/// `max_summary_customers` of them. A customer that is not named is not known to have none.
struct demand_summary {
    vm_name vm;
    incarnation process;
    std::vector<customer_demand> customers;
};

/// Versions between which (both included) no part of any customer's allowance changed.
struct unchanged_parts_range {
    version_number since = 0;
    version_number until = 0;
};

/// What is known of the versions in force elsewhere. Built by the membership.
struct applied_versions {
    /// Highest `allowance_book::applied_version` heard of each VM, directly or through others.
    std::map<vm_name, version_number> seen;
    /// VMs on the platform's list, or off it for less than its lag. While no list is known: the roster.
    std::set<vm_name> listed;
    /// `allowance_book::stable` of some peers: spares a process that starts from waiting for versions that
    /// differ only in other rules.
    std::vector<unchanged_parts_range> unchanged;
};

/// Right of one request to pass tokens on to its customer. The host gives it to `settle` once.
struct reservation {
    customer_name customer;
    token_count charge = 0;   ///< prompt and largest answer
    token_count consumed = 0; ///< of these, already passed on
    time_point expires;       ///< no token is passed on from here on, also after a pause
};

} // namespace cardamomstream
