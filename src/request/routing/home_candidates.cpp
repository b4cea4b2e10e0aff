#include "home_candidates.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::microseconds equal_cost_margin{5'000}; // predictions this close count as equal

std::uint64_t rendezvous_score(std::uint64_t digest, const upstream_name& upstream)
{
    return XXH3_64bits_withSeed(upstream.str().data(), upstream.str().size(), digest);
}

double milliseconds_until(time_point until, time_point now)
{
    return std::chrono::duration<double, std::milli>{until - now}.count();
}

double relative_load(const home_candidate& candidate, time_point now)
{
    return candidate.model->load(now) / std::max(1U, candidate.model->listed().slots);
}

} // namespace

home_candidates::home_candidates(const router_settings& settings, const route_query& query, time_point now,
                                 std::vector<route_note>& notes)
    : m_settings(settings)
    , m_query(query)
    , m_now(now)
    , m_notes(notes)
{
}

std::optional<home_candidate> home_candidates::best(const upstream_group& upstreams, std::mt19937_64& random)
{
    collect(upstreams);
    if (m_candidates.empty()) {
        return std::nullopt;
    }
    drop_tried();
    drop_suspected();
    drop_full();
    predict();
    const home_candidate chosen = m_candidates[cheapest(random)];
    if (chosen.probe) {
        note(route_reason::probe, chosen.name->str());
    }
    if (const double share = chosen.model->slow_start_share(m_now); share < 1) {
        note(route_reason::slow_start, chosen.name->str(), share);
    }
    return chosen;
}

void home_candidates::collect(const upstream_group& upstreams)
{
    for (auto* entry : upstreams) {
        auto& [name, model] = *entry;
        if (!model.usable()) {
            note(route_reason::upstream_leaving, name.str());
            continue;
        }
        m_candidates.push_back({&name, &model, m_query.prompt_tokens, 0, {}, false, false});
    }
}

void home_candidates::drop_tried()
{
    const auto tried = [&](const home_candidate& each) { return m_query.tried.contains(*each.name); };
    if (std::all_of(m_candidates.begin(), m_candidates.end(), tried)) {
        for (auto& each : m_candidates) {
            each.last_resort = true;
        }
        return;
    }
    for (const auto& name : m_query.tried) {
        note(route_reason::upstream_tried, name.str());
    }
    std::erase_if(m_candidates, tried);
}

void home_candidates::drop_suspected()
{
    const auto suspected = [](const home_candidate& each) { return each.model->suspected.active(); };
    const auto due = std::find_if(m_candidates.begin(), m_candidates.end(), [&](const home_candidate& each) {
        return each.model->suspected.probe_due(m_settings, m_now);
    });
    if (due != m_candidates.end() && m_query.may_probe) {
        home_candidate probe = *due;
        probe.probe = true;
        m_candidates = {probe};
        return;
    }
    if (std::all_of(m_candidates.begin(), m_candidates.end(), suspected)) {
        const auto least_recent = std::min_element(
            m_candidates.begin(), m_candidates.end(),
            [](const home_candidate& left, const home_candidate& right) {
                return left.model->suspected.last_failure() < right.model->suspected.last_failure();
            });
        home_candidate only = *least_recent;
        only.last_resort = true;
        note(route_reason::all_suspected, only.name->str());
        m_candidates = {only};
        return;
    }
    for (const auto& each : m_candidates) {
        if (suspected(each)) {
            const auto until = each.model->suspected.probe_at();
            note(route_reason::upstream_suspected, each.name->str(), milliseconds_until(until, m_now));
        }
    }
    std::erase_if(m_candidates, suspected);
}

void home_candidates::drop_full()
{
    const auto full = [](const home_candidate& each) { return each.model->at_limit(); };
    for (const auto& each : m_candidates) {
        if (full(each)) {
            note(route_reason::upstream_at_limit, each.name->str(), each.model->own_in_flight());
        }
    }
    if (!std::all_of(m_candidates.begin(), m_candidates.end(), full)) {
        std::erase_if(m_candidates, full);
    }
}

void home_candidates::predict()
{
    const auto preferred = preferred_by_prefix();
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        home_candidate& each = m_candidates[i];
        const bool cached = preferred == i || each.model->holds_prefix(m_query.prefix_digest);
        if (cached && m_settings.affinity && m_query.prefix_digest != 0) {
            each.expected_cached_tokens = std::min(m_query.prefix_tokens, m_query.prompt_tokens);
        }
        each.prefill_tokens =
            each.model->expected_prefill(m_query.prompt_tokens, each.expected_cached_tokens);
        each.cost = each.model->predict(each.prefill_tokens, m_now);
    }
    if (!preferred) {
        return;
    }
    const home_candidate& candidate = m_candidates[*preferred];
    note(route_reason::prefix_affinity, candidate.name->str(), static_cast<double>(m_query.prefix_tokens));
}

std::optional<std::size_t> home_candidates::preferred_by_prefix() const
{
    if (!m_settings.affinity || m_query.prefix_digest == 0) {
        return std::nullopt;
    }
    std::optional<std::size_t> preferred;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        const home_candidate& each = m_candidates[i];
        const auto score = rendezvous_score(m_query.prefix_digest, *each.name);
        const bool within_bound = each.model->load(m_now) + 1 <= affinity_bound_of(each);
        if (within_bound && (!preferred || score > best_score)) {
            preferred = i;
            best_score = score;
        }
    }
    return preferred;
}

std::size_t home_candidates::cheapest(std::mt19937_64& random) const
{
    const auto start = std::uniform_int_distribution<std::size_t>{0, m_candidates.size() - 1}(random);
    std::size_t best = start;
    for (std::size_t step = 1; step < m_candidates.size(); ++step) {
        const std::size_t i = (start + step) % m_candidates.size();
        const auto difference = m_candidates[i].cost.total() - m_candidates[best].cost.total();
        const bool less_loaded =
            relative_load(m_candidates[i], m_now) < relative_load(m_candidates[best], m_now);
        if (difference < -equal_cost_margin || (difference <= equal_cost_margin && less_loaded)) {
            best = i;
        }
    }
    return best;
}

double home_candidates::affinity_bound_of(const home_candidate& candidate) const
{
    double total_load = 1;
    double total_slots = 0;
    for (const auto& each : m_candidates) {
        total_load += each.model->load(m_now);
        total_slots += std::max(1U, each.model->listed().slots);
    }
    const double fair_share = total_load * std::max(1U, candidate.model->listed().slots) / total_slots;
    return std::ceil(m_settings.affinity_load_bound * fair_share);
}

void home_candidates::note(route_reason reason, const std::string& subject, double value)
{
    m_notes.push_back({reason, subject, value});
}

} // namespace cardamomstream
