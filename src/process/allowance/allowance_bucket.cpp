#include "allowance_bucket.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

/// Differences below this many tokens are rounding errors.
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

/// When the lender no longer needs the record of the loan.
time_point removal_time(const lent_loan& loan)
{
    return loan.share.burst > 0 ? loan.burst_ends : loan.rate_ends;
}

} // namespace

allowance_bucket::allowance_bucket(customer_name customer, const allowance_limits& limits, time_point start)
    : m_customer(std::move(customer))
    , m_loan_duration(limits.loan_duration)
    , m_max_reservation_duration(limits.max_reservation_duration)
    , m_refill_factor(1 - limits.clock_error)
    , m_refilled(start)
{
}

void allowance_bucket::advance(time_point now)
{
    while (m_next_loan_end <= now) {
        const time_point at = m_next_loan_end;
        refill(at);
        end_due_loans(at);
    }
    refill(now);
}

void allowance_bucket::refill(time_point to)
{
    if (to <= m_refilled) {
        return;
    }
    m_level += usable_rate().per_second * m_refill_factor * seconds_between(m_refilled, to);
    m_refilled = to;
    clamp_level();
}

void allowance_bucket::end_due_loans(time_point at)
{
    for (std::size_t index = m_borrowed_loans.size(); index-- > 0;) {
        if (m_borrowed_loans[index].ends <= at) {
            end_borrowed_loan(index);
        }
    }
    for (lent_loan& loan : m_lent_loans) {
        if (loan.rate_ends <= at) {
            loan.share.rate = {};
        }
    }
    std::erase_if(m_lent_loans, [at](const lent_loan& loan) { return removal_time(loan) <= at; });
    update_loan_sums();
}

void allowance_bucket::end_borrowed_loan(std::size_t index)
{
    const borrowed_loan loan = m_borrowed_loans[index];
    m_borrowed_loans.erase(m_borrowed_loans.begin() + static_cast<std::ptrdiff_t>(index));
    update_loan_sums();
    const double uncovered = std::max(0.0, m_reserved - usable_burst() - m_kept_burst_sum);
    const double kept = std::min(loan.share.burst, uncovered);
    const double level_before = m_level;
    clamp_level();
    const double excess = std::min(level_before - m_level, loan.share.burst - kept);
    m_returns.push_back({loan.id, loan.lender, m_customer, kept, excess, false});
    if (kept <= 0) {
        return;
    }
    m_kept_bursts.push_back(
        {loan.id, loan.lender, kept, kept, excess, loan.ends + m_max_reservation_duration});
    m_kept_burst_sum += kept;
}

void allowance_bucket::trim_kept_bursts()
{
    double surplus = m_kept_burst_sum - std::max(0.0, m_reserved - usable_burst());
    for (kept_burst& kept : m_kept_bursts) {
        if (surplus <= 0) {
            break;
        }
        const double released = std::min(surplus, kept.burst);
        kept.burst -= released;
        surplus -= released;
        // The lender is sent a new return only once the kept burst has halved; this limits the messages.
        if (kept.burst > kept.last_reported / 2) {
            continue;
        }
        kept.burst = kept.burst < token_tolerance && m_reserved <= usable_burst() ? 0 : kept.burst;
        kept.last_reported = kept.burst;
        m_returns.push_back({kept.id, kept.lender, m_customer, kept.burst, kept.level, false});
    }
    std::erase_if(m_kept_bursts, [](const kept_burst& kept) { return kept.burst <= 0; });
    m_kept_burst_sum = 0;
    for (const kept_burst& kept : m_kept_bursts) {
        m_kept_burst_sum += kept.burst;
    }
}

void allowance_bucket::clamp_level()
{
    m_level = std::max(0.0, std::min(m_level, unreserved_burst()));
}

void allowance_bucket::update_loan_sums()
{
    m_lent = {};
    m_borrowed = {};
    m_next_loan_end = time_point::max();
    for (const lent_loan& loan : m_lent_loans) {
        m_lent.rate.per_second += loan.share.rate.per_second;
        m_lent.burst += loan.share.burst;
        const bool has_rate = loan.share.rate.per_second > 0;
        m_next_loan_end = std::min(m_next_loan_end, has_rate ? std::min(loan.rate_ends, removal_time(loan))
                                                             : removal_time(loan));
    }
    for (const borrowed_loan& loan : m_borrowed_loans) {
        m_borrowed.rate.per_second += loan.share.rate.per_second;
        m_borrowed.burst += loan.share.burst;
        m_next_loan_end = std::min(m_next_loan_end, loan.ends);
    }
}

void allowance_bucket::set_own_part(const bucket_share& part)
{
    m_own_part = part;
    clamp_level();
    trim_kept_bursts();
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

void allowance_bucket::consume(double tokens)
{
    m_reserved = std::max(0.0, m_reserved - tokens);
    trim_kept_bursts();
}

void allowance_bucket::release(double reserved, double unused)
{
    m_reserved = std::max(0.0, m_reserved - reserved);
    m_level += unused;
    clamp_level();
    trim_kept_bursts();
}

bucket_share allowance_bucket::borrowed_until(time_point ends) const
{
    bucket_share sum;
    for (const borrowed_loan& loan : m_borrowed_loans) {
        if (loan.ends >= ends) {
            sum.rate.per_second += loan.share.rate.per_second;
            sum.burst += loan.share.burst;
        }
    }
    return sum;
}

bucket_share allowance_bucket::lent_beyond(time_point ends) const
{
    bucket_share sum;
    for (const lent_loan& loan : m_lent_loans) {
        if (loan.rate_ends > ends) {
            sum.rate.per_second += loan.share.rate.per_second;
            sum.burst += loan.share.burst;
        }
    }
    return sum;
}

bucket_share allowance_bucket::lendable(const bucket_share& wanted, const bucket_share& kept, double fraction,
                                        time_point ends) const
{
    const bucket_share lasting = borrowed_until(ends);
    const double backed_burst = std::max(0.0, m_own_part.burst * fraction + lasting.burst - m_lent.burst);
    const double free_burst = std::max(0.0, unreserved_burst() - kept.burst);
    const double backed_rate = std::max(0.0, m_own_part.rate.per_second * fraction + lasting.rate.per_second -
                                                 m_lent.rate.per_second);
    const double free_rate = std::max(0.0, usable_rate().per_second - kept.rate.per_second);
    bucket_share share;
    share.burst = std::min({wanted.burst, backed_burst, free_burst});
    share.rate.per_second = std::min({wanted.rate.per_second, backed_rate, free_rate});
    share.level = std::min(wanted.level, std::max(0.0, m_level - kept.level));
    return share;
}

time_point allowance_bucket::latest_lending_end(double burst, double fraction, time_point soonest,
                                                time_point latest) const
{
    const auto backed_until = [&](time_point ends) {
        return m_own_part.burst * fraction + borrowed_until(ends).burst - m_lent.burst >= burst;
    };
    if (backed_until(latest)) {
        return latest;
    }
    time_point best = soonest;
    for (const borrowed_loan& loan : m_borrowed_loans) {
        if (loan.ends > best && loan.ends < latest && backed_until(loan.ends)) {
            best = loan.ends;
        }
    }
    return best;
}

bucket_share allowance_bucket::lend(const loan_id& id, const bucket_share& share,
                                    std::chrono::milliseconds duration, time_point now)
{
    const time_point rate_ends = now + duration;
    bucket_share lent = share;
    const double burst_left = std::max(0.0, unreserved_burst() - share.burst);
    lent.level = std::max(share.level, m_level - burst_left);
    m_lent_loans.push_back(
        {id, lent, lent, rate_ends, rate_ends + m_max_reservation_duration, false, duration});
    m_level -= lent.level;
    update_loan_sums();
    clamp_level();
    return lent;
}

const lent_loan* allowance_bucket::find_lent_loan(const loan_id& id) const
{
    const auto found = std::find_if(m_lent_loans.begin(), m_lent_loans.end(),
                                    [&](const lent_loan& loan) { return loan.id == id; });
    return found == m_lent_loans.end() ? nullptr : &*found;
}

void allowance_bucket::restore_lent_loan(const held_loan& loan, time_point rate_ends, time_point burst_ends)
{
    m_lent_loans.push_back({loan.id, loan.share, loan.share, rate_ends, burst_ends, false, {}});
    update_loan_sums();
    clamp_level();
}

void allowance_bucket::accept_return(const loan_return& returned)
{
    const auto loan = std::find_if(m_lent_loans.begin(), m_lent_loans.end(),
                                   [&](const lent_loan& entry) { return entry.id == returned.id; });
    if (loan == m_lent_loans.end()) {
        const time_point removed_at = m_refilled + m_loan_duration;
        m_lent_loans.push_back({returned.id, {}, {}, removed_at, removed_at, true, {}});
        update_loan_sums();
        return;
    }
    const double returned_level = returned.unused ? loan->lent.level : returned.level;
    const double level = loan->returned ? 0 : returned_level;
    loan->returned = true;
    loan->share.rate = {};
    loan->share.burst = std::min(loan->share.burst, returned.burst_kept);
    update_loan_sums();
    m_level += level;
    clamp_level();
    trim_kept_bursts();
}

void allowance_bucket::add_borrowed_loan(const borrowed_loan& loan)
{
    m_borrowed_loans.push_back(loan);
    update_loan_sums();
    m_level += loan.share.level;
    clamp_level();
    trim_kept_bursts();
}

void allowance_bucket::end_unneeded_loans(const bucket_share& needed)
{
    const bool relends = m_lent.burst > m_own_part.burst || m_lent.rate > m_own_part.rate;
    if (relends) {
        return;
    }
    for (std::size_t index = m_borrowed_loans.size(); index-- > 0;) {
        const bucket_share& loan = m_borrowed_loans[index].share;
        const bool spare_burst = unreserved_burst() - loan.burst >= needed.burst;
        const bool spare_rate = usable_rate().per_second - loan.rate.per_second >= needed.rate.per_second;
        if (spare_burst && spare_rate) {
            end_borrowed_loan(index);
        }
    }
}

void allowance_bucket::append_loans_from(const vm_name& lender, time_point now,
                                         std::vector<held_loan>& held) const
{
    for (const borrowed_loan& loan : m_borrowed_loans) {
        if (loan.lender != lender) {
            continue;
        }
        const bucket_share share{loan.share.rate, loan.share.burst, 0};
        const auto left = time_left(now, loan.ends);
        held.push_back({loan.id, m_customer, share, left, left + m_max_reservation_duration});
    }
    for (const kept_burst& kept : m_kept_bursts) {
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

bool allowance_bucket::fits_own_part() const
{
    const auto fits = [this](const bucket_share& lent, const bucket_share& borrowed) {
        return lent.burst <= m_own_part.burst + borrowed.burst + token_tolerance &&
               lent.rate.per_second <=
                   m_own_part.rate.per_second + borrowed.rate.per_second + token_tolerance;
    };
    const bool lent_fits = std::all_of(m_lent_loans.begin(), m_lent_loans.end(), [&](const lent_loan& loan) {
        const time_point before = loan.rate_ends - time_point::duration{1};
        return fits(lent_beyond(before), borrowed_until(loan.rate_ends));
    });
    return lent_fits && m_reserved <= usable_burst() + m_kept_burst_sum + token_tolerance;
}

bool allowance_bucket::idle() const
{
    return m_reserved <= 0 && m_lent_loans.empty() && m_borrowed_loans.empty() && m_kept_bursts.empty() &&
           m_returns.empty();
}

bucket_share allowance_bucket::free_share() const
{
    return {usable_rate(), std::max(0.0, unreserved_burst()), m_level};
}

bucket_share allowance_bucket::share_after(time_point at) const
{
    bucket_share share = usable_share();
    for (const borrowed_loan& loan : m_borrowed_loans) {
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
    return {std::max(0.0, m_own_part.rate.per_second + m_borrowed.rate.per_second - m_lent.rate.per_second)};
}

double allowance_bucket::usable_burst() const
{
    return m_own_part.burst + m_borrowed.burst - m_lent.burst;
}

double allowance_bucket::unreserved_burst() const
{
    return usable_burst() - m_reserved;
}

} // namespace cardamomstream
