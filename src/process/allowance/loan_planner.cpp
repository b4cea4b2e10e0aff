#include "loan_planner.h"

#include <algorithm>

namespace cardamomstream {

namespace {

/// How long a peer's reported spare allowance is used.
constexpr std::chrono::seconds max_spare_age{3};
/// Added to the score of a lender in the same region: its answer saves a round trip between regions.
constexpr double same_region_bonus = 0.25;
/// Weight of an estimate from the roster relative to allowance that the peer has reported.
constexpr double estimate_weight = 0.5;

double fraction_met(double wanted, double spare)
{
    return wanted > 0 ? std::min(wanted, spare) / wanted : 0;
}

double score_of(const bucket_share& wanted, const bucket_share& spare)
{
    return fraction_met(wanted.burst, spare.burst) + fraction_met(wanted.level, spare.level) +
           fraction_met(wanted.rate.per_second, spare.rate.per_second);
}

bucket_share minimum_of(const bucket_share& left, const bucket_share& right)
{
    return {std::min(left.rate, right.rate), std::min(left.burst, right.burst),
            std::min(left.level, right.level)};
}

} // namespace

std::optional<lender_candidate> loan_planner::choose(const std::vector<lender_candidate>& roster,
                                                     const bucket_share& wanted, time_point now) const
{
    std::optional<lender_candidate> best;
    double best_score = 0;
    for (const lender_candidate& candidate : roster) {
        const peer_record* known = find_peer(candidate.vm);
        if ((known != nullptr && now < known->ask_again_at) || is_pending(candidate.vm)) {
            continue;
        }
        const bool reported = known != nullptr && now < known->updated + max_spare_age;
        const bucket_share& spare = reported ? known->spare : candidate.estimate;
        double score = score_of(wanted, spare) * (reported ? 1 : estimate_weight);
        if (score <= 0) {
            continue;
        }
        score += candidate.same_region ? same_region_bonus : 0;
        if (score <= best_score) {
            continue;
        }
        best_score = score;
        best = lender_candidate{candidate.vm, minimum_of(wanted, spare), candidate.same_region};
    }
    return best;
}

std::optional<pending_loan> loan_planner::take_pending(std::uint64_t number, const vm_name& lender)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(), [&](const pending_loan& loan) {
        return loan.number == number && loan.lender == lender;
    });
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    pending_loan loan = *found;
    m_pending.erase(found);
    return loan;
}

std::vector<pending_loan> loan_planner::remove_sent_before(time_point sent_before)
{
    std::vector<pending_loan> removed;
    std::erase_if(m_pending, [&](const pending_loan& loan) {
        if (loan.sent >= sent_before) {
            return false;
        }
        removed.push_back(loan);
        return true;
    });
    return removed;
}

void loan_planner::remove_pending_from(const vm_name& lender)
{
    std::erase_if(m_pending, [&](const pending_loan& loan) { return loan.lender == lender; });
}

bucket_share loan_planner::expected_sum() const
{
    bucket_share sum;
    for (const pending_loan& loan : m_pending) {
        sum.rate.per_second += loan.expected.rate.per_second;
        sum.burst += loan.expected.burst;
        sum.level += loan.expected.level;
    }
    return sum;
}

void loan_planner::record_spare(const vm_name& vm, const bucket_share& spare, time_point now,
                                std::size_t max_peers)
{
    peer_record& known = find_or_add_peer(vm, now, max_peers);
    known.spare = spare;
    known.updated = now;
}

void loan_planner::back_off_from(const vm_name& vm, time_point now, time_point until, std::size_t max_peers)
{
    peer_record& known = find_or_add_peer(vm, now, max_peers);
    known.spare = {};
    known.updated = now;
    known.ask_again_at = until;
}

loan_planner::peer_record& loan_planner::find_or_add_peer(const vm_name& vm, time_point now,
                                                          std::size_t max_peers)
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(),
                                    [&](const peer_record& known) { return known.vm == vm; });
    if (found != m_peers.end()) {
        return *found;
    }
    if (m_peers.size() < max_peers) {
        m_peers.push_back({vm, {}, now, {}});
        return m_peers.back();
    }
    peer_record& oldest = *std::min_element(
        m_peers.begin(), m_peers.end(),
        [](const peer_record& left, const peer_record& right) { return left.updated < right.updated; });
    oldest = {vm, {}, now, {}};
    return oldest;
}

const loan_planner::peer_record* loan_planner::find_peer(const vm_name& vm) const
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(),
                                    [&](const peer_record& known) { return known.vm == vm; });
    return found == m_peers.end() ? nullptr : &*found;
}

bool loan_planner::is_pending(const vm_name& vm) const
{
    return std::any_of(m_pending.begin(), m_pending.end(),
                       [&](const pending_loan& loan) { return loan.lender == vm; });
}

} // namespace cardamomstream
