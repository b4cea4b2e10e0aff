#include "cardamomstream/process/allowance_book.h"

#include "cardamomstream/process/allowance_part.h"
#include "customer_share.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <string>
#include <unordered_map>
#include <utility>

namespace cardamomstream {

namespace {

/// The versions between two that a process received one after the other; it never received these.
struct skipped_versions {
    version_number after = 0;
    version_number before = 0;
};

/// Whether the skipped versions are reported to have the same parts as the version before or after them.
bool has_known_parts(const skipped_versions& skipped, const unchanged_parts_range& reported)
{
    const bool equals_older = reported.since <= skipped.after && skipped.before <= reported.until + 1;
    const bool equals_newer = reported.since <= skipped.after + 1 && skipped.before <= reported.until;
    return equals_older || equals_newer;
}

/// Limits of retry_after in a refusal.
constexpr std::chrono::milliseconds min_retry_after{100};
constexpr std::chrono::milliseconds max_retry_after{60'000};
/// A loan in advance of demand is requested when more than this fraction of the target is missing.
constexpr double min_missing_fraction = 0.3;
/// Summaries list customers first for which a peer requested a loan within this time.
constexpr std::chrono::seconds recent_request_window{10};
/// A loan for waiting requests is shortened to no less than this, so that the lender can lend on burst that
/// it has borrowed itself.
constexpr std::chrono::milliseconds min_shortened_loan{1'000};
/// Rates and demand up to this count as none, in tokens per second.
constexpr double min_demand = 1e-3;
/// Amounts up to this count as none, in tokens.
constexpr double min_tokens = 1e-3;

bucket_share minus(const bucket_share& left, const bucket_share& right)
{
    return {{std::max(0.0, left.rate.per_second - right.rate.per_second)},
            std::max(0.0, left.burst - right.burst),
            std::max(0.0, left.level - right.level)};
}

std::chrono::milliseconds time_to_refill(double tokens, token_rate rate)
{
    if (rate.per_second <= 0) {
        return max_retry_after;
    }
    const double seconds =
        std::min(tokens / rate.per_second, std::chrono::duration<double>(max_retry_after).count());
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
    return std::clamp(wait, min_retry_after, max_retry_after);
}

error unknown_customer(const customer_name& customer)
{
    return {error_kind::not_found,
            "customer \"" + customer.str() + "\" is not in the rules",
            "add the customer to the rules",
            run_outcome::not_run,
            {}};
}

} // namespace

class allowance_book::state {
public:
    state(vm_name self, incarnation self_process, const allowance_limits& limits, time_point started)
        : m_self(std::move(self))
        , m_process(self_process)
        , m_limits(limits)
        , m_started(started)
    {
    }

    void apply(const rules_snapshot& published, const applied_versions& others, time_point now);
    version_number applied_version(time_point now);
    result<reservation> admit(const customer_name& customer, token_count charge, time_point now);
    void consume(reservation& open, token_count tokens, time_point now);
    void settle(reservation& open, token_count used, time_point now);
    std::optional<loan_request> plan_loan(const customer_name& customer, customer_share& share,
                                          token_count needed, time_point now);
    std::vector<loan_request> plan_loans_ahead(std::size_t max_requests, time_point now);
    loan_answer lend(const loan_request& request, time_point now);
    void accept(const loan_answer& answer, time_point now);
    void accept(const loan_return& returned, time_point now);
    restart_answer answer_restart(const restart_query& query, time_point now);
    void accept(const restart_answer& answer, time_point now);
    demand_summary summarise(time_point now);
    void record_peer_summary(const demand_summary& peer, time_point now);
    void advance(time_point now);

    customer_share* find(const customer_name& customer, time_point now);
    restart_query make_restart_query() const { return {m_self, m_process}; }
    bool restarting() const { return m_restarting; }
    bool knows_versions(time_point now) const
    {
        return m_all_versions_known || now >= m_started + restart_wait();
    }
    unchanged_parts_range unchanged_parts() const { return m_unchanged_parts; }
    std::vector<loan_return> take_returns() { return std::exchange(m_returns, {}); }

private:
    void adopt_rules(const rules_snapshot& published, time_point now);
    void resolve_skipped_versions(const std::vector<unchanged_parts_range>& reported);
    void update_customer(const customer_name& customer, const customer_rule& rule, time_point now);
    void update_known_versions(const applied_versions& others);
    void check_restart(time_point now);
    void set_parts(time_point now);
    void collect_returns(customer_share& share);
    void cancel_overdue_requests(const customer_name& customer, customer_share& share, time_point now);
    bool all_fit_own_parts() const;
    std::chrono::milliseconds restart_wait() const
    {
        return m_limits.loan_duration + m_limits.max_reservation_duration;
    }
    bucket_share target_share(customer_share& share, time_point now) const;
    bucket_share share_to_keep(customer_share& share, time_point now) const;
    bucket_share share_withheld(customer_share& share, token_count needed, time_point now) const;
    bucket_share missing_share(customer_share& share, token_count needed, time_point now) const;
    bool is_worth_a_loan(const bucket_share& wanted, const bucket_share& target, token_count needed) const;
    std::vector<lender_candidate> candidates(const customer_name& customer) const;
    error refusal(const customer_name& customer, const customer_share& share, token_count charge) const;

    vm_name m_self;
    incarnation m_process;
    allowance_limits m_limits;
    time_point m_started;
    rules_snapshot m_rules;
    std::map<region_name, double> m_region_sizes;
    std::vector<skipped_versions> m_skipped;
    unchanged_parts_range m_unchanged_parts; ///< versions with the parts of the current one
    version_number m_oldest_known = 0;       ///< oldest version whose parts this process knows
    version_number m_oldest_in_force = 0;    ///< no listed VM runs an older version
    version_number m_applied_version = 0;
    bool m_all_versions_known = false; ///< set once all listed VMs run versions whose parts are known here
    bool m_restarting = true;          ///< loans lent by a predecessor may be unknown
    std::set<vm_name> m_listed;
    std::set<vm_name> m_restart_answers;
    std::uint64_t m_last_loan = 0;
    std::unordered_map<customer_name, customer_share> m_customers;
    std::vector<loan_return> m_returns;
};

void allowance_book::state::apply(const rules_snapshot& published, const applied_versions& others,
                                  time_point now)
{
    if (m_rules == nullptr || published->version > m_rules->version) {
        applied_version(now);
        adopt_rules(published, now);
    }
    update_known_versions(others);
    check_restart(now);
    set_parts(now);
}

void allowance_book::state::adopt_rules(const rules_snapshot& published, time_point now)
{
    const bool follows = m_rules != nullptr && published->version == m_rules->version + 1;
    const bool unchanged = follows && same_parts(*m_rules, *published);
    if (m_rules != nullptr && !follows) {
        m_skipped.push_back({m_rules->version, published->version});
    }
    m_unchanged_parts.since = unchanged ? m_unchanged_parts.since : published->version;
    m_unchanged_parts.until = published->version;
    m_rules = published;
    m_region_sizes = count_vms_by_region(*published);
    if (m_oldest_known == 0) {
        m_oldest_known = published->version;
    }
    for (const auto& [customer, rule] : published->customers) {
        update_customer(customer, rule, now);
    }
    for (auto& [customer, share] : m_customers) {
        if (published->customers.contains(customer)) {
            continue;
        }
        share.full_bucket = {};
        share.history.add(published->version, {});
    }
}

void allowance_book::state::update_customer(const customer_name& customer, const customer_rule& rule,
                                            time_point now)
{
    const auto roster_entry = m_rules->vms.find(m_self);
    const auto [found, added] = m_customers.try_emplace(customer, customer, m_limits, now);
    customer_share& share = found->second;
    share.full_bucket = {rule.rate, static_cast<double>(rule.burst), 0};
    share.permitted = roster_entry != m_rules->vms.end() && permits(rule, roster_entry->second.region);
    share.history.add(m_rules->version, base_part(*m_rules, m_region_sizes, rule, m_self));
}

void allowance_book::state::update_known_versions(const applied_versions& others)
{
    m_listed = others.listed;
    if (m_listed.empty()) {
        for (const auto& [vm, rule] : m_rules->vms) {
            m_listed.insert(vm);
        }
    }
    for (const unchanged_parts_range& reported : others.unchanged) {
        if (reported.since < m_unchanged_parts.since && m_unchanged_parts.since <= reported.until) {
            m_unchanged_parts.since = reported.since;
        }
    }
    if (m_unchanged_parts.since < m_oldest_known && m_oldest_known <= m_unchanged_parts.until) {
        m_oldest_known = m_unchanged_parts.since;
    }
    version_number oldest = m_rules->version;
    version_number newest = 0;
    for (const vm_name& vm : m_listed) {
        if (vm == m_self) {
            continue;
        }
        const auto seen = others.seen.find(vm);
        const version_number version = seen == others.seen.end() ? 0 : seen->second;
        oldest = std::min(oldest, version);
        newest = std::max(newest, version);
    }
    m_oldest_in_force = std::max(m_oldest_in_force, oldest);
    resolve_skipped_versions(others.unchanged);
    if (m_oldest_in_force >= m_oldest_known && newest <= m_rules->version) {
        m_all_versions_known = true;
    }
}

void allowance_book::state::resolve_skipped_versions(const std::vector<unchanged_parts_range>& reported)
{
    std::erase_if(m_skipped, [&](const skipped_versions& skipped) {
        const auto resolves = [&](const unchanged_parts_range& range) {
            return has_known_parts(skipped, range);
        };
        return skipped.before <= m_oldest_in_force || std::any_of(reported.begin(), reported.end(), resolves);
    });
}

void allowance_book::state::check_restart(time_point now)
{
    if (!m_restarting) {
        return;
    }
    const bool all_answered =
        !m_listed.empty() && std::all_of(m_listed.begin(), m_listed.end(), [&](const vm_name& vm) {
            return vm == m_self || m_restart_answers.contains(vm);
        });
    m_restarting = !all_answered && now < m_started + restart_wait();
    if (!m_restarting && m_rules != nullptr) {
        set_parts(now);
    }
}

void allowance_book::state::set_parts(time_point now)
{
    const double held_fraction = m_restarting ? 1 - m_limits.lendable_fraction : 1;
    for (auto& [customer, share] : m_customers) {
        share.bucket.advance(now);
        share.history.forget_before(m_oldest_in_force);
        bucket_share part =
            m_all_versions_known && m_skipped.empty() ? share.history.minimum() : bucket_share{};
        part.rate.per_second *= held_fraction;
        part.burst *= held_fraction;
        share.bucket.set_own_part(part);
        collect_returns(share);
    }
    std::erase_if(m_customers, [&](const auto& entry) {
        const customer_share& share = entry.second;
        return share.full_bucket.burst <= 0 && share.history.has_one_entry() && share.bucket.idle();
    });
}

bool allowance_book::state::all_fit_own_parts() const
{
    return std::all_of(m_customers.begin(), m_customers.end(),
                       [](const auto& entry) { return entry.second.bucket.fits_own_part(); });
}

version_number allowance_book::state::applied_version(time_point now)
{
    check_restart(now);
    if (m_rules == nullptr || m_restarting || m_applied_version == m_rules->version) {
        return m_applied_version;
    }
    for (auto& [customer, share] : m_customers) {
        share.bucket.advance(now);
    }
    if (all_fit_own_parts()) {
        m_applied_version = m_rules->version;
    }
    return m_applied_version;
}

customer_share* allowance_book::state::find(const customer_name& customer, time_point now)
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end()) {
        return nullptr;
    }
    found->second.bucket.advance(now);
    return &found->second;
}

result<reservation> allowance_book::state::admit(const customer_name& customer, token_count charge,
                                                 time_point now)
{
    customer_share* share = find(customer, now);
    if (share == nullptr || share->full_bucket.burst <= 0) {
        return unknown_customer(customer);
    }
    const auto tokens = static_cast<double>(charge);
    if (charge <= 0 || !share->permitted || tokens > share->full_bucket.burst ||
        !share->bucket.try_reserve(tokens)) {
        return refusal(customer, *share, charge);
    }
    share->demand.add(tokens, now);
    return reservation{customer, charge, 0, now + m_limits.max_reservation_duration};
}

error allowance_book::state::refusal(const customer_name& customer, const customer_share& share,
                                     token_count charge) const
{
    const std::string who = "customer \"" + customer.str() + "\"";
    if (!share.permitted) {
        return {error_kind::no_permitted_region,
                who + " may not be served in the region of VM \"" + m_self.str() + "\"",
                "ask the entry route for a VM in a permitted region",
                run_outcome::not_run,
                {}};
    }
    if (charge <= 0) {
        return {error_kind::invalid_argument,
                "a charge of " + std::to_string(charge) + " tokens is not positive",
                "charge the prompt plus the largest answer",
                run_outcome::not_run,
                {}};
    }
    if (static_cast<double>(charge) > share.full_bucket.burst) {
        const auto burst = std::to_string(static_cast<token_count>(share.full_bucket.burst));
        return {error_kind::invalid_argument,
                who + " asks for " + std::to_string(charge) + " tokens in one request, its burst is " + burst,
                "lower max_tokens so that prompt and answer fit into " + burst + " tokens",
                run_outcome::not_run,
                {}};
    }
    const bucket_share held = share.bucket.usable_share();
    const double shortage = static_cast<double>(charge) - held.level;
    const token_rate rate = held.burst < static_cast<double>(charge) ? share.full_bucket.rate : held.rate;
    return {error_kind::allowance_exhausted,
            who + " has " + std::to_string(static_cast<token_count>(held.level)) + " of the " +
                std::to_string(charge) + " tokens needed at VM \"" + m_self.str() + "\"",
            "repeat the request after the time in Retry-After, or ask for a higher rate or burst",
            run_outcome::not_run, time_to_refill(shortage, rate)};
}

void allowance_book::state::consume(reservation& open, token_count tokens, time_point now)
{
    const token_count counted = std::clamp<token_count>(tokens, 0, open.charge - open.consumed);
    open.consumed += counted;
    if (customer_share* share = find(open.customer, now)) {
        share->bucket.consume(static_cast<double>(counted));
        collect_returns(*share);
    }
}

void allowance_book::state::settle(reservation& open, token_count used, time_point now)
{
    const token_count reserved = open.charge - open.consumed;
    const token_count unused = open.charge - std::clamp(used, open.consumed, open.charge);
    open.consumed = open.charge;
    if (reserved <= 0) {
        return;
    }
    if (customer_share* share = find(open.customer, now)) {
        share->bucket.release(static_cast<double>(reserved), static_cast<double>(unused));
        share->demand.subtract(static_cast<double>(unused), now);
        collect_returns(*share);
    }
}

bucket_share allowance_book::state::target_share(customer_share& share, time_point now) const
{
    const double demand = share.demand.rate(now).per_second;
    if (demand < min_demand) {
        return {};
    }
    const double rate = m_limits.headroom_factor * demand;
    const double free = rate * std::chrono::duration<double>(m_limits.planning_horizon).count();
    return {{rate}, free, free};
}

/// Borrowed allowance that is not returned early: covers the measured demand and the waiting requests.
bucket_share allowance_book::state::share_to_keep(customer_share& share, time_point now) const
{
    bucket_share kept = target_share(share, now);
    if (now < share.waiting_expires) {
        kept.burst = std::max(kept.burst, static_cast<double>(share.waiting_tokens));
    }
    return kept;
}

/// What a lender does not lend: its target, but only its rate if requests are waiting at the borrower,
/// because they have priority over requests that may arrive here.
bucket_share allowance_book::state::share_withheld(customer_share& share, token_count needed,
                                                   time_point now) const
{
    const bucket_share expected = target_share(share, now);
    if (needed > 0) {
        return {expected.rate, 0, 0};
    }
    return expected;
}

bucket_share allowance_book::state::missing_share(customer_share& share, token_count needed,
                                                  time_point now) const
{
    bucket_share target = target_share(share, now);
    if (needed > 0) {
        target.burst = std::min(static_cast<double>(needed), share.full_bucket.burst);
        target.level = target.burst;
    }
    else if (target.burst < share.demand.mean_charge()) {
        return {};
    }
    const bucket_share lasting = share.bucket.share_after(now + m_limits.planning_horizon);
    bucket_share wanted = minus(minus(target, lasting), share.planner.expected_sum());
    if (!is_worth_a_loan(wanted, target, needed)) {
        return {};
    }
    return wanted;
}

bool allowance_book::state::is_worth_a_loan(const bucket_share& wanted, const bucket_share& target,
                                            token_count needed) const
{
    if (needed > 0) {
        return wanted.level > min_tokens || wanted.burst > min_tokens;
    }
    return wanted.rate.per_second > min_missing_fraction * target.rate.per_second + min_demand ||
           wanted.level > min_missing_fraction * target.level + min_tokens ||
           wanted.burst > min_missing_fraction * target.burst + min_tokens;
}

std::vector<lender_candidate> allowance_book::state::candidates(const customer_name& customer) const
{
    std::vector<lender_candidate> result;
    const auto rule = m_rules->customers.find(customer);
    if (rule == m_rules->customers.end()) {
        return result;
    }
    const auto own = m_rules->vms.find(m_self);
    std::map<region_name, bucket_share> parts;
    result.reserve(m_rules->vms.size());
    for (const auto& [vm, roster_entry] : m_rules->vms) {
        if (vm == m_self || !m_listed.contains(vm)) {
            continue;
        }
        auto part = parts.find(roster_entry.region);
        if (part == parts.end()) {
            part = parts.emplace(roster_entry.region, base_part(*m_rules, m_region_sizes, rule->second, vm))
                       .first;
        }
        bucket_share estimate = part->second;
        estimate.level = estimate.burst;
        result.push_back(
            {vm, estimate, own != m_rules->vms.end() && own->second.region == roster_entry.region});
    }
    if (!result.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(m_last_loan % result.size());
        std::rotate(result.begin(), result.begin() + first, result.end());
    }
    return result;
}

std::optional<loan_request> allowance_book::state::plan_loan(const customer_name& customer,
                                                             customer_share& share, token_count needed,
                                                             time_point now)
{
    const bool at_limit = share.planner.pending() >= m_limits.max_pending_loans ||
                          share.bucket.borrowed_loan_count() >= m_limits.max_loans;
    if (!share.permitted || at_limit) {
        return std::nullopt;
    }
    if (needed > 0) {
        share.waiting_tokens = needed;
        share.waiting_expires = now + m_limits.loan_timeout;
    }
    const bucket_share wanted = missing_share(share, needed, now);
    if (wanted.burst <= 0 && wanted.level <= 0 && wanted.rate.per_second <= 0) {
        return std::nullopt;
    }
    const auto lender = share.planner.choose(candidates(customer), wanted, now);
    if (!lender) {
        return std::nullopt;
    }
    const loan_id id{m_self, m_process, ++m_last_loan};
    const auto duration = needed > 0 ? m_limits.short_loan_duration : m_limits.loan_duration;
    share.planner.add_pending({id.number, lender->vm, lender->estimate, now, duration});
    return loan_request{id, lender->vm, customer, wanted, needed, duration};
}

std::vector<loan_request> allowance_book::state::plan_loans_ahead(std::size_t max_requests, time_point now)
{
    std::vector<loan_request> requests;
    for (auto& [customer, share] : m_customers) {
        if (requests.size() >= max_requests) {
            break;
        }
        share.bucket.advance(now);
        if (share.planner.pending() > 0) {
            continue;
        }
        auto request = plan_loan(customer, share, 0, now);
        if (request) {
            requests.push_back(std::move(*request));
        }
    }
    return requests;
}

loan_answer allowance_book::state::lend(const loan_request& request, time_point now)
{
    loan_answer answer{request.id, m_self, request.customer, {}, request.duration};
    customer_share* share = find(request.customer, now);
    const bool can_lend = !m_restarting && share != nullptr && request.lender == m_self &&
                          request.id.borrower != m_self && request.duration.count() > 0 &&
                          request.duration <= m_limits.loan_duration;
    if (!can_lend) {
        return answer;
    }
    share->last_peer_request = now;
    if (const lent_loan* existing = share->bucket.find_lent_loan(request.id)) {
        answer.lent = existing->returned ? bucket_share{} : existing->lent;
        answer.duration = existing->duration;
        return answer;
    }
    const bucket_share kept = share_withheld(*share, request.needed, now);
    const time_point latest = now + request.duration;
    const time_point soonest = now + std::min(min_shortened_loan, request.duration);
    const time_point ends =
        request.needed > 0 ? share->bucket.latest_lending_end(request.wanted.burst,
                                                              m_limits.lendable_fraction, soonest, latest)
                           : latest;
    const bucket_share offer = share->bucket.lendable(request.wanted, kept, m_limits.lendable_fraction, ends);
    const bool offers_nothing =
        offer.burst <= min_tokens && offer.level <= min_tokens && offer.rate.per_second <= min_demand;
    if (offers_nothing || share->bucket.lent_loan_count() >= m_limits.max_loans) {
        return answer;
    }
    answer.duration = std::chrono::floor<std::chrono::milliseconds>(ends - now);
    answer.lent = share->bucket.lend(request.id, offer, answer.duration, now);
    return answer;
}

void allowance_book::state::accept(const loan_answer& answer, time_point now)
{
    customer_share* share = find(answer.customer, now);
    if (share == nullptr || answer.id.borrower != m_self || answer.id.borrower_process != m_process) {
        return;
    }
    const auto pending = share->planner.take_pending(answer.id.number, answer.lender);
    if (!pending) {
        return;
    }
    const time_point ends =
        pending->sent + std::min(answer.duration, pending->duration) - m_limits.drift_margin;
    if (ends <= now) {
        m_returns.push_back({answer.id, answer.lender, answer.customer, 0, 0, true});
        return;
    }
    const bool less_than_expected =
        answer.lent.burst < pending->expected.burst || answer.lent.level < pending->expected.level;
    if (less_than_expected) {
        share->planner.back_off_from(answer.lender, now, now + m_limits.refusal_backoff,
                                     m_limits.max_known_peers);
    }
    const bool lends_nothing =
        answer.lent.burst <= 0 && answer.lent.level <= 0 && answer.lent.rate.per_second <= 0;
    if (lends_nothing) {
        return;
    }
    share->bucket.add_borrowed_loan({answer.id, answer.lender, answer.lent, ends});
    collect_returns(*share);
}

void allowance_book::state::accept(const loan_return& returned, time_point now)
{
    if (customer_share* share = find(returned.customer, now); share != nullptr && returned.lender == m_self) {
        share->bucket.accept_return(returned);
        collect_returns(*share);
    }
}

restart_answer allowance_book::state::answer_restart(const restart_query& query, time_point now)
{
    restart_answer answer{m_self, query.vm, query.process, {}};
    for (auto& [customer, share] : m_customers) {
        share.bucket.advance(now);
        share.planner.remove_pending_from(query.vm);
        share.bucket.append_loans_from(query.vm, now, answer.held);
        collect_returns(share);
    }
    return answer;
}

void allowance_book::state::accept(const restart_answer& answer, time_point now)
{
    const bool expected = answer.to == m_self && answer.to_process == m_process && m_restarting;
    if (!expected || !m_restart_answers.insert(answer.from).second) {
        return;
    }
    for (const held_loan& loan : answer.held) {
        const auto [found, added] = m_customers.try_emplace(loan.customer, loan.customer, m_limits, now);
        allowance_bucket& bucket = found->second.bucket;
        bucket.advance(now);
        const auto margin = m_limits.drift_margin;
        bucket.restore_lent_loan(loan, now + loan.rate_left + margin, now + loan.burst_left + margin);
    }
    check_restart(now);
}

demand_summary allowance_book::state::summarise(time_point now)
{
    demand_summary summary{m_self, m_process, {}};
    const double unlimited = std::numeric_limits<double>::max();
    std::vector<std::pair<double, customer_demand>> ranked;
    for (auto& [customer, share] : m_customers) {
        share.bucket.advance(now);
        const bucket_share spare =
            m_restarting
                ? bucket_share{}
                : share.bucket.lendable({{unlimited}, unlimited, unlimited}, target_share(share, now),
                                        m_limits.lendable_fraction, now + min_shortened_loan);
        const bool asked = share.last_peer_request + recent_request_window > now;
        const double rank = asked ? unlimited : spare.level;
        if (rank > min_tokens) {
            ranked.emplace_back(rank, customer_demand{customer, share.demand.rate(now), spare});
        }
    }
    const std::size_t count = std::min(ranked.size(), m_limits.max_summary_customers);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                      [](const auto& left, const auto& right) { return left.first > right.first; });
    ranked.resize(count);
    for (auto& [rank, demand] : ranked) {
        summary.customers.push_back(std::move(demand));
    }
    return summary;
}

void allowance_book::state::record_peer_summary(const demand_summary& peer, time_point now)
{
    for (const customer_demand& reported : peer.customers) {
        const auto found = m_customers.find(reported.customer);
        if (found != m_customers.end() && peer.vm != m_self) {
            found->second.planner.record_spare(peer.vm, reported.spare, now, m_limits.max_known_peers);
        }
    }
}

void allowance_book::state::collect_returns(customer_share& share)
{
    std::vector<loan_return> returns = share.bucket.take_returns();
    std::move(returns.begin(), returns.end(), std::back_inserter(m_returns));
}

void allowance_book::state::cancel_overdue_requests(const customer_name& customer, customer_share& share,
                                                    time_point now)
{
    for (const pending_loan& overdue : share.planner.remove_sent_before(now - m_limits.loan_timeout)) {
        m_returns.push_back({{m_self, m_process, overdue.number}, overdue.lender, customer, 0, 0, true});
        share.planner.back_off_from(overdue.lender, now, now + m_limits.refusal_backoff,
                                    m_limits.max_known_peers);
    }
}

void allowance_book::state::advance(time_point now)
{
    for (auto& [customer, share] : m_customers) {
        share.bucket.advance(now);
        share.bucket.end_unneeded_loans(share_to_keep(share, now));
        cancel_overdue_requests(customer, share, now);
        collect_returns(share);
    }
    check_restart(now);
}

allowance_book::allowance_book(vm_name self, incarnation self_process, const allowance_limits& limits,
                               time_point started)
    : m_state(std::make_unique<state>(std::move(self), self_process, limits, started))
{
}

allowance_book::~allowance_book() = default;
allowance_book::allowance_book(allowance_book&&) noexcept = default;
allowance_book& allowance_book::operator=(allowance_book&&) noexcept = default;

void allowance_book::apply(const rules_snapshot& published, const applied_versions& others, time_point now)
{
    m_state->apply(published, others, now);
}

bool allowance_book::knows_versions(time_point now) const
{
    return m_state->knows_versions(now);
}

unchanged_parts_range allowance_book::unchanged_parts() const
{
    return m_state->unchanged_parts();
}

version_number allowance_book::applied_version(time_point now)
{
    return m_state->applied_version(now);
}

result<reservation> allowance_book::admit(const customer_name& customer, token_count charge, time_point now)
{
    return m_state->admit(customer, charge, now);
}

void allowance_book::consume(reservation& open, token_count tokens, time_point now)
{
    m_state->consume(open, tokens, now);
}

void allowance_book::settle(reservation& open, token_count used, time_point now)
{
    m_state->settle(open, used, now);
}

std::optional<loan_request> allowance_book::plan_loan(const customer_name& customer, token_count needed,
                                                      time_point now)
{
    customer_share* share = m_state->find(customer, now);
    if (share == nullptr) {
        return std::nullopt;
    }
    return m_state->plan_loan(customer, *share, needed, now);
}

std::vector<loan_request> allowance_book::plan_loans_ahead(std::size_t max_requests, time_point now)
{
    return m_state->plan_loans_ahead(max_requests, now);
}

loan_answer allowance_book::lend(const loan_request& request, time_point now)
{
    return m_state->lend(request, now);
}

void allowance_book::accept(const loan_answer& answer, time_point now)
{
    m_state->accept(answer, now);
}

void allowance_book::accept(const loan_return& returned, time_point now)
{
    m_state->accept(returned, now);
}

std::vector<loan_return> allowance_book::take_returns()
{
    return m_state->take_returns();
}

restart_query allowance_book::make_restart_query() const
{
    return m_state->make_restart_query();
}

bool allowance_book::restarting() const
{
    return m_state->restarting();
}

restart_answer allowance_book::answer_restart(const restart_query& query, time_point now)
{
    return m_state->answer_restart(query, now);
}

void allowance_book::accept(const restart_answer& answer, time_point now)
{
    m_state->accept(answer, now);
}

demand_summary allowance_book::summarise(time_point now)
{
    return m_state->summarise(now);
}

void allowance_book::record_peer_summary(const demand_summary& peer, time_point now)
{
    m_state->record_peer_summary(peer, now);
}

void allowance_book::advance(time_point now)
{
    m_state->advance(now);
}

std::optional<bucket_share> allowance_book::share(const customer_name& customer, time_point now)
{
    const customer_share* share = m_state->find(customer, now);
    if (share == nullptr) {
        return std::nullopt;
    }
    return share->bucket.usable_share();
}

} // namespace cardamomstream
