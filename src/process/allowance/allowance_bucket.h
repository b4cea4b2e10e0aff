/// One customer's share at one VM: own part, loans given and taken, level and open reservations. Keeps
/// level + reserved at or below the burst through every change.
#pragma once

#include "cardamomstream/process/allowance_types.h"

#include <algorithm>
#include <vector>

namespace cardamomstream {

/// A loan that this VM gave.
struct lent_loan {
    loan_id id;
    bucket_share share;                    ///< what is still out; the level is what was lent
    bucket_share lent;                     ///< what the answer said
    time_point rate_ends;                  ///< the rate comes back
    time_point burst_ends;                 ///< the burst comes back
    bool returned = false;                 ///< a first return has arrived
    std::chrono::milliseconds duration{0}; ///< what the answer said
};

/// A loan that this VM uses.
struct borrowed_loan {
    loan_id id;
    vm_name lender;
    bucket_share share;
    time_point ends;
};

/// Burst of an ended loan that backs reservations still open.
struct kept_burst {
    loan_id id;
    vm_name lender;
    double burst = 0;
    double last_reported = 0; ///< burst that the last return named
    double level = 0;         ///< level that the returns name
    time_point until;
};

/// Accounting of one customer. Every call first needs `advance(now)`.
class allowance_bucket {
public:
    allowance_bucket(customer_name customer, const allowance_limits& limits, time_point start);

    /// Refills and processes the ends of loans in their order, exactly at their times.
    void advance(time_point now);

    void set_own_part(const bucket_share& part);

    bool try_reserve(double tokens);
    void consume(double tokens);
    /// Ends `reserved` tokens of reservation, of which `unused` were not received.
    void release(double reserved, double unused);

    /// Most that can be lent until `ends`, up to `wanted`, while `kept` stays. Comes from the `fraction` of
    /// the own part and from loans taken that end no sooner.
    bucket_share lendable(const bucket_share& wanted, const bucket_share& kept, double fraction,
                          time_point ends) const;
    /// The latest end, between the two, until which `burst` tokens can be lent; `soonest` if there is none.
    time_point latest_lending_end(double burst, double fraction, time_point soonest, time_point latest) const;
    /// Takes `share` off and returns what was lent: its level may be higher, if it would not fit any more.
    bucket_share lend(const loan_id& id, const bucket_share& share, std::chrono::milliseconds duration,
                      time_point now);
    const lent_loan* find_lent_loan(const loan_id& id) const;
    /// Records a loan that a predecessor gave.
    void restore_lent_loan(const held_loan& loan, time_point rate_ends, time_point burst_ends);
    /// A return that overtakes its request is remembered, so that the request lends nothing.
    void accept_return(const loan_return& returned);

    void add_borrowed_loan(const borrowed_loan& loan);
    /// Ends the loans taken that are not needed to keep `needed` beside the open reservations. None of them
    /// ends early while any loan is passed on.
    void end_unneeded_loans(const bucket_share& needed);
    /// Appends what is held of loans by `lender`.
    void append_loans_from(const vm_name& lender, time_point now, std::vector<held_loan>& held) const;
    std::vector<loan_return> take_returns();

    /// Whether loans given and open reservations fit into the own part and the loans that back them.
    bool fits_own_part() const;
    bool idle() const;
    /// Rate, burst beyond reservations, and level.
    bucket_share free_share() const;
    /// Rate, burst and level, reservations included.
    bucket_share usable_share() const { return {usable_rate(), std::max(0.0, usable_burst()), m_level}; }
    /// Rate and burst without the loans taken that end by `at`.
    bucket_share share_after(time_point at) const;
    std::size_t lent_loan_count() const { return m_lent_loans.size(); }
    std::size_t borrowed_loan_count() const { return m_borrowed_loans.size() + m_kept_bursts.size(); }

private:
    token_rate usable_rate() const;
    double usable_burst() const; ///< negative while loans given exceed a part that has shrunk
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
    bucket_share m_lent;     ///< sum of loans given
    bucket_share m_borrowed; ///< sum of loans taken
    double m_kept_burst_sum = 0;
    double m_level = 0;
    double m_reserved = 0;
    std::vector<lent_loan> m_lent_loans;
    std::vector<borrowed_loan> m_borrowed_loans;
    std::vector<kept_burst> m_kept_bursts;
    std::vector<loan_return> m_returns;
};

} // namespace cardamomstream
