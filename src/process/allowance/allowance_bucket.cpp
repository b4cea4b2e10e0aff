#include "allowance_bucket.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

/// Tokens below which a difference is rounding.
constexpr double token_tolerance = 1e-6;

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::chrono::milliseconds time_left(time_point now, time_point end)
{
    if (end <= now) {
        return std::chrono::milliseconds{0};
    }
    return std::chrono::ceil<std::chrono::milliseconds>(end - now);
}

/// When the lender may forget the loan.
time_point end_of(const given_loan& loan)
{
    return loan.share.burst > 0 ? loan.burst_ends : loan.rate_ends;
}

} // namespace

allowance_bucket::allowance_bucket(customer_name customer, const allowance_limits& limits, time_point start)
    : m_customer(std::move(customer))
    , m_loan_duration(limits.loan_duration)
    , m_longest_reservation(limits.longest_reservation)
    , m_refilled(start)
{
}

void allowance_bucket::advance(time_point now)
{
    while (m_next_end <= now) {
        const time_point at = m_next_end;
        refill(at);
        process_ends(at);
    }
    refill(now);
}

void allowance_bucket::refill(time_point to)
{
    if (to <= m_refilled) {
        return;
    }
    m_level += usable_rate().per_second * seconds_between(m_refilled, to);
    m_refilled = to;
    fit_level();
}

void allowance_bucket::process_ends(time_point at)
{
    for (std::size_t index = m_taken.size(); index-- > 0;) {
        if (m_taken[index].ends <= at) {
            end_taken(index);
        }
    }
    for (given_loan& loan : m_given) {
        if (loan.rate_ends <= at) {
            loan.share.rate = {};
        }
    }
    std::erase_if(m_given, [at](const given_loan& loan) { return end_of(loan) <= at; });
    recompute();
}

void allowance_bucket::end_taken(std::size_t index)
{
    const taken_loan loan = m_taken[index];
    m_taken.erase(m_taken.begin() + static_cast<std::ptrdiff_t>(index));
    recompute();
    const double uncovered = std::max(0.0, m_reserved - usable_burst() - m_kept_sum);
    const double kept = std::min(loan.share.burst, uncovered);
    const double level_before = m_level;
    fit_level();
    const double excess = std::min(level_before - m_level, loan.share.burst - kept);
    m_returns.push_back({loan.id, loan.lender, m_customer, kept, excess, false});
    if (kept <= 0) {
        return;
    }
    m_kept.push_back({loan.id, loan.lender, kept, kept, excess, loan.ends + m_longest_reservation});
    m_kept_sum += kept;
}

void allowance_bucket::trim_kept()
{
    double surplus = m_kept_sum - std::max(0.0, m_reserved - usable_burst());
    for (kept_burst& kept : m_kept) {
        if (surplus <= 0) {
            break;
        }
        const double released = std::min(surplus, kept.burst);
        kept.burst -= released;
        surplus -= released;
        if (kept.burst > kept.told / 2) {
            continue;
        }
        kept.burst = kept.burst < token_tolerance && m_reserved <= usable_burst() ? 0 : kept.burst;
        kept.told = kept.burst;
        m_returns.push_back({kept.id, kept.lender, m_customer, kept.burst, kept.level, false});
    }
    std::erase_if(m_kept, [](const kept_burst& kept) { return kept.burst <= 0; });
    m_kept_sum = 0;
    for (const kept_burst& kept : m_kept) {
        m_kept_sum += kept.burst;
    }
}

void allowance_bucket::fit_level()
{
    m_level = std::max(0.0, std::min(m_level, room()));
}

void allowance_bucket::recompute()
{
    m_out = {};
    m_in = {};
    m_next_end = time_point::max();
    for (const given_loan& loan : m_given) {
        m_out.rate.per_second += loan.share.rate.per_second;
        m_out.burst += loan.share.burst;
        const bool rate_out = loan.share.rate.per_second > 0;
        m_next_end = std::min(m_next_end, rate_out ? std::min(loan.rate_ends, end_of(loan)) : end_of(loan));
    }
    for (const taken_loan& loan : m_taken) {
        m_in.rate.per_second += loan.share.rate.per_second;
        m_in.burst += loan.share.burst;
        m_next_end = std::min(m_next_end, loan.ends);
    }
}

void allowance_bucket::set_own(const bucket_share& part)
{
    m_own = part;
    fit_level();
    trim_kept();
}

bool allowance_bucket::try_reserve(double tokens)
{
    if (m_level < tokens) {
        return false;
    }
    m_level -= tokens;
    m_reserved += tokens;
    return true;
}

void allowance_bucket::receive(double tokens)
{
    m_reserved = std::max(0.0, m_reserved - tokens);
    trim_kept();
}

void allowance_bucket::release(double reserved, double unused)
{
    m_reserved = std::max(0.0, m_reserved - reserved);
    m_level += unused;
    fit_level();
    trim_kept();
}

bucket_share allowance_bucket::lendable(const bucket_share& wanted, const bucket_share& kept,
                                        double fraction) const
{
    const double own_burst = std::max(0.0, m_own.burst * fraction - m_out.burst);
    const double free_burst = std::max(0.0, room() - kept.burst);
    const double own_rate = std::max(0.0, m_own.rate.per_second * fraction - m_out.rate.per_second);
    const double free_rate = std::max(0.0, usable_rate().per_second - kept.rate.per_second);
    bucket_share share;
    share.burst = std::min({wanted.burst, own_burst, free_burst});
    share.rate.per_second = std::min({wanted.rate.per_second, own_rate, free_rate});
    share.level = std::min(wanted.level, std::max(0.0, m_level - kept.level));
    return share;
}

bucket_share allowance_bucket::lend(const loan_id& id, const bucket_share& share, time_point rate_ends)
{
    bucket_share lent = share;
    lent.level = std::max(share.level, m_level - (room() - share.burst));
    m_given.push_back({id, lent, lent, rate_ends, rate_ends + m_longest_reservation, false});
    m_level -= lent.level;
    recompute();
    fit_level();
    return lent;
}

const given_loan* allowance_bucket::find_given(const loan_id& id) const
{
    const auto found =
        std::find_if(m_given.begin(), m_given.end(), [&](const given_loan& loan) { return loan.id == id; });
    return found == m_given.end() ? nullptr : &*found;
}

void allowance_bucket::restore_given(const held_loan& loan, time_point rate_ends, time_point burst_ends)
{
    m_given.push_back({loan.id, loan.share, loan.share, rate_ends, burst_ends, false});
    recompute();
    fit_level();
}

void allowance_bucket::take_back(const loan_return& returned)
{
    const auto loan = std::find_if(m_given.begin(), m_given.end(),
                                   [&](const given_loan& given) { return given.id == returned.id; });
    if (loan == m_given.end()) {
        const time_point forgotten = m_refilled + m_loan_duration;
        m_given.push_back({returned.id, {}, {}, forgotten, forgotten, true});
        recompute();
        return;
    }
    const double given_back = returned.unused ? loan->lent.level : returned.level;
    const double level = loan->returned ? 0 : given_back;
    loan->returned = true;
    loan->share.rate = {};
    loan->share.burst = std::min(loan->share.burst, returned.burst_kept);
    recompute();
    m_level += level;
    fit_level();
    trim_kept();
}

void allowance_bucket::take(const taken_loan& loan)
{
    m_taken.push_back(loan);
    recompute();
    m_level += loan.share.level;
    fit_level();
    trim_kept();
}

void allowance_bucket::append_held(const vm_name& lender, time_point now, std::vector<held_loan>& held) const
{
    for (const taken_loan& loan : m_taken) {
        if (loan.lender != lender) {
            continue;
        }
        const bucket_share share{loan.share.rate, loan.share.burst, 0};
        const auto left = time_left(now, loan.ends);
        held.push_back({loan.id, m_customer, share, left, left + m_longest_reservation});
    }
    for (const kept_burst& kept : m_kept) {
        if (kept.lender != lender) {
            continue;
        }
        const bucket_share share{{}, kept.burst, 0};
        held.push_back({kept.id, m_customer, share, {}, time_left(now, kept.until)});
    }
}

std::vector<loan_return> allowance_bucket::take_returns()
{
    return std::exchange(m_returns, {});
}

bool allowance_bucket::fits() const
{
    if (m_out.rate.per_second > m_own.rate.per_second + token_tolerance) {
        return false;
    }
    if (m_out.burst > m_own.burst + token_tolerance) {
        return false;
    }
    return m_reserved <= usable_burst() + m_kept_sum + token_tolerance;
}

bool allowance_bucket::idle() const
{
    return m_reserved <= 0 && m_given.empty() && m_taken.empty() && m_kept.empty() && m_returns.empty();
}

bucket_share allowance_bucket::free_share() const
{
    return {usable_rate(), std::max(0.0, room()), m_level};
}

bucket_share allowance_bucket::lasting_share(time_point at) const
{
    bucket_share share = usable_share();
    for (const taken_loan& loan : m_taken) {
        if (loan.ends > at) {
            continue;
        }
        share.rate.per_second -= loan.share.rate.per_second;
        share.burst -= loan.share.burst;
    }
    share.burst -= m_reserved;
    return share;
}

token_rate allowance_bucket::usable_rate() const
{
    return {std::max(0.0, m_own.rate.per_second - m_out.rate.per_second) + m_in.rate.per_second};
}

double allowance_bucket::usable_burst() const
{
    return std::max(0.0, m_own.burst - m_out.burst) + m_in.burst;
}

double allowance_bucket::room() const
{
    return usable_burst() - m_reserved;
}

} // namespace cardamomstream
