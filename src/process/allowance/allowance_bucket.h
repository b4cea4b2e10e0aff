/// One customer's share at one VM: own part, lent and borrowed loans, level and open reservations. Every
/// operation keeps level + reserved tokens at or below the usable burst; if the reserved tokens alone exceed
/// it, the level is zero.
#pragma once

#include "cardamomstream/process/allowance_types.h"

#include <algorithm>
#include <vector>

namespace cardamomstream {

/// A loan that this VM has granted.
struct lent_loan {
    loan_id id;
    bucket_share share;                    ///< what has not come back yet; the level stays as lent
    bucket_share lent;                     ///< what the answer granted
    time_point rate_ends;                  ///< when the rate comes back
    time_point burst_ends;                 ///< when the burst comes back
    bool returned = false;                 ///< whether a return has arrived
    std::chrono::milliseconds duration{0}; ///< what the answer granted
};

/// A loan that this VM has been granted.
struct borrowed_loan {
    loan_id id;
    vm_name lender;
    bucket_share share;
    time_point ends;
};

/// Burst of an ended borrowed loan, kept while it covers open reservations.
struct kept_burst {
    loan_id id;
    vm_name lender;
    double burst = 0;
    double last_reported = 0; ///< burst_kept of the last return sent
    double level = 0;         ///< level of the returns sent
    time_point until;
};

/// Accounting of one customer. Call `advance(now)` before any other function.
class allowance_bucket {
public:
    allowance_bucket(customer_name customer, const allowance_limits& limits, time_point start);

    /// Refills the level up to `now` and ends due loans, each in order and at its exact end time.
    void advance(time_point now);

    void set_own_part(const bucket_share& part);

    bool try_reserve(double tokens);
    void consume(double tokens);
    /// Releases `reserved` tokens, of which `unused` were not consumed.
    void release(double reserved, double unused);

    /// The most that can be lent until `ends`, up to `wanted`, while `kept` remains here. It is taken from
    /// `fraction` of the own part and from borrowed loans that end no earlier than `ends`.
    bucket_share lendable(const bucket_share& wanted, const bucket_share& kept, double fraction,
                          time_point ends) const;
    /// The latest time between `soonest` and `latest` until which `burst` tokens can be lent; `soonest` if
    /// there is none.
    time_point latest_lending_end(double burst, double fraction, time_point soonest, time_point latest) const;
    /// Subtracts `share` and returns what was lent. The level lent is higher than requested if the remaining
    /// level would exceed the remaining burst.
    bucket_share lend(const loan_id& id, const bucket_share& share, std::chrono::milliseconds duration,
                      time_point now);
    const lent_loan* find_lent_loan(const loan_id& id) const;
    /// Records a loan that a predecessor process has granted.
    void restore_lent_loan(const held_loan& loan, time_point rate_ends, time_point burst_ends);
    /// Adds a returned loan to this share again. A return that arrives before its request is recorded, so
    /// that the request lends nothing.
    void accept_return(const loan_return& returned);

    void add_borrowed_loan(const borrowed_loan& loan);
    /// Ends the borrowed loans without which `needed` would still be available besides the open reservations.
    /// Ends none while borrowed allowance is lent on.
    void end_unneeded_loans(const bucket_share& needed);
    /// Appends what is still held of loans granted by `lender`.
    void append_loans_from(const vm_name& lender, time_point now, std::vector<held_loan>& held) const;
    std::vector<loan_return> take_returns();

    /// Whether lent loans and open reservations fit into the own part and the borrowed loans that cover them.
    bool fits_own_part() const;
    /// Whether there are no loans, open reservations or returns to send.
    bool idle() const;
    /// Rate, burst without reserved tokens, and level.
    bucket_share free_share() const;
    /// Rate, burst including reserved tokens, and level.
    bucket_share usable_share() const { return {usable_rate(), std::max(0.0, usable_burst()), m_level}; }
    /// `usable_share` without reserved tokens and without the borrowed loans that end by `at`.
    bucket_share share_after(time_point at) const;
    std::size_t lent_loan_count() const { return m_lent_loans.size(); }
    std::size_t borrowed_loan_count() const { return m_borrowed_loans.size() + m_kept_bursts.size(); }

private:
    token_rate usable_rate() const;
    double usable_burst() const; ///< negative while lent loans exceed an own part that has shrunk
    bucket_share borrowed_until(time_point ends) const;
    bucket_share lent_beyond(time_point ends) const;
    double unreserved_burst() const;
    void refill(time_point to);
    void end_due_loans(time_point at);
    void end_borrowed_loan(std::size_t index);
    void trim_kept_bursts();
    void clamp_level();
    void update_loan_sums();

    customer_name m_customer;
    std::chrono::milliseconds m_loan_duration;
    std::chrono::milliseconds m_max_reservation_duration;
    double m_refill_factor;
    time_point m_refilled;
    time_point m_next_loan_end = time_point::max();
    bucket_share m_own_part;
    bucket_share m_lent;     ///< sum of the lent loans
    bucket_share m_borrowed; ///< sum of the borrowed loans
    double m_kept_burst_sum = 0;
    double m_level = 0;
    double m_reserved = 0;
    std::vector<lent_loan> m_lent_loans;
    std::vector<borrowed_loan> m_borrowed_loans;
    std::vector<kept_burst> m_kept_bursts;
    std::vector<loan_return> m_returns;
};

} // namespace cardamomstream
