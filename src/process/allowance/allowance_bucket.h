/// One customer's share at one VM: own part, loans given and taken, level and open reservations. Keeps
/// level + reserved at or below the burst through every change.
#pragma once

#include "cardamomstream/process/allowance_types.h"

#include <vector>

namespace cardamomstream {

/// A loan that this VM gave.
struct given_loan {
    loan_id id;
    bucket_share share;    ///< what is still out; the level is what was lent
    bucket_share lent;     ///< what the answer said
    time_point rate_ends;  ///< the rate comes back
    time_point burst_ends; ///< the burst comes back
    bool returned = false; ///< a first return has arrived
};

/// A loan that this VM uses.
struct taken_loan {
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
    double told = 0;  ///< burst that the last return named
    double level = 0; ///< level that the returns name
    time_point until;
};

/// Accounting of one customer. Every call first needs `advance(now)`.
class allowance_bucket {
public:
    allowance_bucket(customer_name customer, const allowance_limits& limits, time_point start);

    /// Refills and processes the ends of loans in their order, exactly at their times.
    void advance(time_point now);

    void set_own(const bucket_share& part);

    bool try_reserve(double tokens);
    void receive(double tokens);
    /// Ends `reserved` tokens of reservation, of which `unused` were not received.
    void release(double reserved, double unused);

    /// Most that can be lent, up to `wanted`, while `kept` stays and at most the `lendable` fraction is out.
    bucket_share lendable(const bucket_share& wanted, const bucket_share& kept, double fraction) const;
    /// Takes `share` off and returns what was lent: its level may be higher, if it would not fit any more.
    bucket_share lend(const loan_id& id, const bucket_share& share, time_point rate_ends);
    const given_loan* find_given(const loan_id& id) const;
    /// Records a loan that a predecessor gave.
    void restore_given(const held_loan& loan, time_point rate_ends, time_point burst_ends);
    /// A return that overtakes its request is remembered, so that the request lends nothing.
    void take_back(const loan_return& returned);

    void take(const taken_loan& loan);
    /// Appends what is held of loans by `lender`.
    void append_held(const vm_name& lender, time_point now, std::vector<held_loan>& held) const;
    std::vector<loan_return> take_returns();

    /// Whether loans given and open reservations fit into the own part.
    bool fits() const;
    bool idle() const;
    /// Rate, burst beyond reservations, and level.
    bucket_share free_share() const;
    /// Rate, burst and level, reservations included.
    bucket_share usable_share() const { return {usable_rate(), usable_burst(), m_level}; }
    /// Rate and burst without the loans taken that end by `at`.
    bucket_share lasting_share(time_point at) const;
    std::size_t loans_given() const { return m_given.size(); }
    std::size_t loans_taken() const { return m_taken.size() + m_kept.size(); }

private:
    token_rate usable_rate() const;
    double usable_burst() const;
    double room() const;
    void refill(time_point to);
    void process_ends(time_point at);
    void end_taken(std::size_t index);
    void trim_kept();
    void fit_level();
    void recompute();

    customer_name m_customer;
    std::chrono::milliseconds m_loan_duration;
    std::chrono::milliseconds m_longest_reservation;
    time_point m_refilled;
    time_point m_next_end = time_point::max();
    bucket_share m_own;
    bucket_share m_out; ///< sum of loans given
    bucket_share m_in;  ///< sum of loans taken
    double m_kept_sum = 0;
    double m_level = 0;
    double m_reserved = 0;
    std::vector<given_loan> m_given;
    std::vector<taken_loan> m_taken;
    std::vector<kept_burst> m_kept;
    std::vector<loan_return> m_returns;
};

} // namespace cardamomstream
