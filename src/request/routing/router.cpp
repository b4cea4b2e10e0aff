#include "cardamomstream/request/routing.h"

#include "home_candidates.h"
#include "link_budget.h"
#include "suspicion.h"
#include "upstream_model.h"

#include <algorithm>
#include <utility>

#include <boost/outcome/try.hpp>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds default_target{720};
constexpr std::chrono::milliseconds no_capacity_retry{1'000};
constexpr std::chrono::milliseconds max_link_wait{60'000};

struct peer_model {
    region_name region;
    bool live = true;
    std::uint32_t in_flight = 0;
    suspicion suspected;
};

struct region_candidate {
    region_name region;
    std::optional<route_cost> cost; ///< empty if the load is unknown
};

bool is_fault(attempt_failure failure)
{
    return failure != attempt_failure::overloaded && failure != attempt_failure::cancelled;
}

double to_milliseconds(std::chrono::microseconds value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

std::string join_names(const std::set<region_name>& regions)
{
    std::string text;
    for (const auto& region : regions) {
        text += (text.empty() ? "" : ", ") + region.str();
    }
    return text;
}

} // namespace

class router::impl {
public:
    impl(region_name home, router_settings settings)
        : m_home(std::move(home))
        , m_settings(settings)
    {
    }

    void update(const routing_view& view, time_point now);
    result<route_choice> choose(const route_query& query, time_point now, std::mt19937_64& random);

    upstream_model* model_of(const upstream_name& name);
    peer_model* peer_of(const vm_name& name);
    void end_attempt(const route_attempt& attempt, std::optional<attempt_failure> failure, time_point now,
                     std::mt19937_64* random);

    region_name m_home;
    router_settings m_settings;
    std::uint32_t m_home_vms = 1; ///< VMs of the home region, by the rules
    upstream_models m_upstreams;
    std::map<vm_name, peer_model> m_peers;

private:
    void update_upstreams(const vm_list& list, time_point now);
    void update_peers(const std::vector<peer_vm>& peers);
    void update_links(const rules& current, time_point now);

    result<void> check_hops(const route_query& query) const;
    result<void> check_residency(const route_query& query) const;
    void index_upstreams();
    /// Upstreams of the pool by region.
    const std::map<region_name, upstream_group>& groups_of(const pool_name& pool) const;

    std::optional<route_choice> send_away(const route_query& query, time_point now, bool home_can_serve,
                                          std::chrono::microseconds target, std::mt19937_64& random,
                                          std::vector<route_note>& notes);
    std::vector<region_candidate> other_regions(const route_query& query, time_point now, bool home_can_serve,
                                                std::chrono::microseconds target,
                                                std::vector<route_note>& notes) const;
    std::optional<route_cost> region_cost(const region_name& region, const route_query& query,
                                          time_point now) const;
    bool reachable(const region_name& region) const;
    std::optional<route_choice> forward(const region_candidate& candidate, const route_query& query,
                                        time_point now, std::mt19937_64& random,
                                        std::vector<route_note>& notes);
    vm_name pick_peer(const region_name& region, const route_query& query, time_point now,
                      std::mt19937_64& random);
    error no_capacity_error(const route_query& query, const std::vector<route_note>& notes,
                            time_point now) const;
    std::chrono::microseconds target_of(const pool_name& pool) const;

    routing_view m_view;
    time_point m_view_at;
    bool m_has_view = false;
    std::map<pool_name, std::map<region_name, upstream_group>> m_groups;
    std::map<region_name, link_budget> m_links;
};

void router::impl::update(const routing_view& view, time_point now)
{
    if (view.list) {
        update_upstreams(*view.list, now);
        index_upstreams();
    }
    if (view.rules) {
        update_links(*view.rules, now);
    }
    update_peers(view.peers);
    for (const auto& [name, load] : view.upstream_loads) {
        if (auto* model = model_of(name)) {
            model->set_published_load(load, now);
        }
    }
    m_view = view;
    m_view_at = now;
    m_has_view = m_has_view || view.list != nullptr; // the rules may arrive before the first list
}

void router::impl::update_upstreams(const vm_list& list, time_point now)
{
    for (auto& [name, model] : m_upstreams) {
        if (!list.upstreams.contains(name)) {
            model.set_unlisted();
        }
    }
    std::erase_if(m_upstreams, [&](const auto& entry) {
        return !list.upstreams.contains(entry.first) && entry.second.own_in_flight() == 0;
    });
    // The upstreams of the first list are assumed to be warm; only those listed later go through slow start.
    const auto cold_since = m_has_view ? std::optional{now} : std::nullopt;
    for (const auto& [name, listed] : list.upstreams) {
        auto* model = model_of(name);
        if (model == nullptr) {
            m_upstreams.emplace(name, upstream_model{listed, m_settings, cold_since});
            continue;
        }
        const bool returned = !model->usable() && listed.state == listed_state::live;
        const bool moved = model->listed().address != listed.address;
        model->set_listed(listed);
        if (returned || moved) {
            model->restart_cold(now);
        }
    }
}

void router::impl::update_peers(const std::vector<peer_vm>& peers)
{
    for (auto& [name, model] : m_peers) {
        model.live = false;
    }
    for (const auto& peer : peers) {
        auto& model = m_peers[peer.vm];
        model.region = peer.region;
        model.live = true;
    }
    std::erase_if(m_peers,
                  [](const auto& entry) { return !entry.second.live && entry.second.in_flight == 0; });
}

void router::impl::update_links(const rules& current, time_point now)
{
    const auto is_home = [&](const auto& entry) { return entry.second.region == m_home; };
    const auto vms = std::count_if(current.vms.begin(), current.vms.end(), is_home);
    m_home_vms = static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, vms));
    const double routers = static_cast<double>(m_home_vms) * std::max(1U, m_settings.routers_per_vm);
    std::map<region_name, double> rates;
    for (const auto& [name, link] : current.links) {
        if (link.from == m_home) {
            rates[link.to] += link.requests_per_second / routers;
        }
    }
    std::erase_if(m_links, [&](const auto& entry) { return !rates.contains(entry.first); });
    for (const auto& [region, rate] : rates) {
        m_links[region].set_rate(rate, now);
    }
}

result<route_choice> router::impl::choose(const route_query& query, time_point now, std::mt19937_64& random)
{
    BOOST_OUTCOME_TRYV(check_hops(query));
    BOOST_OUTCOME_TRYV(check_residency(query));
    route_choice choice;
    choice.region = m_home;
    const bool home_permitted = query.permitted.empty() || query.permitted.contains(m_home);
    std::optional<home_candidate> best;
    if (home_permitted) {
        const auto& groups = groups_of(query.pool);
        const auto home = groups.find(m_home);
        if (home != groups.end()) {
            best = home_candidates{m_settings, query, now, choice.notes}.best(home->second, random);
        }
    }
    else {
        choice.notes.push_back({route_reason::region_not_permitted, m_home.str(), 0});
    }
    if (best) {
        choice.cost = best->cost;
        choice.cost.queue += query.queue_wait;
    }
    const auto target = target_of(query.pool);
    const bool home_can_serve = best && !best->last_resort;
    const bool home_meets = home_can_serve && (best->probe || choice.cost.total() <= target);
    if (best) {
        const auto reason = home_meets ? route_reason::home_meets_target : route_reason::home_misses_target;
        choice.notes.push_back({reason, m_home.str(), to_milliseconds(choice.cost.total())});
    }
    if (query.origin == request_origin::peer) {
        choice.notes.push_back({route_reason::local_only, {}, static_cast<double>(query.hop_count)});
    }
    else if (!home_meets && (m_settings.send_away || !best)) {
        auto forwarded = send_away(query, now, home_can_serve, target, random, choice.notes);
        if (forwarded) {
            return std::move(*forwarded);
        }
    }
    if (!best) {
        return no_capacity_error(query, choice.notes, now);
    }
    choice.prefill_tokens = best->prefill_tokens;
    choice.expected_cached_tokens = best->expected_cached_tokens;
    if (best->model->at_limit()) {
        choice.action = route_action::wait;
        return choice;
    }
    choice.upstream = *best->name;
    choice.address = best->model->listed().address;
    choice.probe = best->probe;
    choice.notes.push_back(
        {route_reason::lowest_cost, choice.upstream.str(), to_milliseconds(choice.cost.total())});
    return choice;
}

result<void> router::impl::check_hops(const route_query& query) const
{
    const auto& passed = query.regions_passed;
    const bool from_peer = query.origin == request_origin::peer;
    const bool consistent = query.hop_count == passed.size() && query.hop_count <= (from_peer ? 1U : 0U);
    const bool visited_home = std::find(passed.begin(), passed.end(), m_home) != passed.end();
    if (consistent && !visited_home) {
        return boost::outcome_v2::success();
    }
    error invalid;
    invalid.kind = error_kind::invalid_request;
    invalid.message = "the request carries hop count " + std::to_string(query.hop_count) + " and " +
                      std::to_string(passed.size()) + " passed regions" +
                      (visited_home ? ", region \"" + m_home.str() + "\" among them" : "");
    invalid.remedy = "send the request to an entry VM directly, without hop fields";
    return invalid;
}

void router::impl::index_upstreams()
{
    m_groups.clear();
    for (auto& entry : m_upstreams) {
        const auto& listed = entry.second.listed();
        m_groups[listed.pool][listed.region].push_back(&entry);
    }
}

const std::map<region_name, upstream_group>& router::impl::groups_of(const pool_name& pool) const
{
    static const std::map<region_name, upstream_group> none;
    const auto found = m_groups.find(pool);
    return found == m_groups.end() ? none : found->second;
}

result<void> router::impl::check_residency(const route_query& query) const
{
    const auto& groups = groups_of(query.pool);
    const bool local_only = query.origin == request_origin::peer;
    const auto is_permitted = [&](const region_name& region) {
        return query.permitted.empty() || query.permitted.contains(region);
    };
    const auto group_is_permitted = [&](const auto& group) { return is_permitted(group.first); };
    const bool any =
        local_only ? is_permitted(m_home) : std::any_of(groups.begin(), groups.end(), group_is_permitted);
    if (any || (!local_only && groups.empty())) {
        return boost::outcome_v2::success();
    }
    error refused;
    refused.kind = error_kind::no_permitted_region;
    refused.message = "pool \"" + query.pool.str() + "\" is not served in the customer's regions (" +
                      join_names(query.permitted) + ")" + (local_only ? " that this VM can serve" : "");
    refused.remedy = "ask the operators to add a region to the customer or upstreams to its regions";
    return refused;
}

std::optional<route_choice> router::impl::send_away(const route_query& query, time_point now,
                                                    bool home_can_serve, std::chrono::microseconds target,
                                                    std::mt19937_64& random, std::vector<route_note>& notes)
{
    for (const auto& candidate : other_regions(query, now, home_can_serve, target, notes)) {
        if (auto forwarded = forward(candidate, query, now, random, notes)) {
            return forwarded;
        }
    }
    return std::nullopt;
}

// Ordered by predicted cost, regions of unknown load last.
std::vector<region_candidate> router::impl::other_regions(const route_query& query, time_point now,
                                                          bool home_can_serve,
                                                          std::chrono::microseconds target,
                                                          std::vector<route_note>& notes) const
{
    std::vector<region_candidate> candidates;
    for (const auto& [region, group] : groups_of(query.pool)) {
        if (region == m_home) {
            continue;
        }
        if (!query.permitted.empty() && !query.permitted.contains(region)) {
            notes.push_back({route_reason::region_not_permitted, region.str(), 0});
            continue;
        }
        if (!reachable(region)) {
            notes.push_back({route_reason::no_peer, region.str(), 0});
            continue;
        }
        const auto cost = region_cost(region, query, now);
        if (!cost) {
            notes.push_back({route_reason::region_without_data, region.str(), 0});
        }
        else if (cost->total() > target) {
            notes.push_back(
                {route_reason::region_misses_target, region.str(), to_milliseconds(cost->total())});
        }
        if (!home_can_serve || (cost && cost->total() <= target)) {
            candidates.push_back({region, cost});
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const region_candidate& left, const region_candidate& right) {
                         return left.cost && (!right.cost || left.cost->total() < right.cost->total());
                     });
    return candidates;
}

std::optional<route_cost> router::impl::region_cost(const region_name& region, const route_query& query,
                                                    time_point now) const
{
    const auto found = m_view.loads.find({region, query.pool});
    if (found == m_view.loads.end()) {
        return std::nullopt;
    }
    const pool_load_report& load = found->second;
    if (load.age + (now - m_view_at) > m_settings.load_max_age) {
        return std::nullopt;
    }
    double forwarded = 0;
    for (const auto& [name, peer] : m_peers) {
        forwarded += peer.region == region ? peer.in_flight : 0;
    }
    std::chrono::duration<double> service_time = m_settings.default_service_time;
    double prefill_rate = m_settings.default_prefill_rate;
    const auto& groups = groups_of(query.pool);
    if (const auto home = groups.find(m_home); home != groups.end()) {
        for (const auto* entry : home->second) {
            service_time = std::max(service_time, entry->second.service_time());
            prefill_rate = entry->second.prefill_rate();
        }
    }
    const double slots = std::max(1.0, load.slots);
    const double excess = load.in_flight + load.queued + forwarded - slots + 1;
    const auto queue = std::max(0.0, excess) / slots * service_time;
    // Prefix caches are local to a region, so no part of the prompt counts as cached.
    const std::chrono::duration<double> prefill{static_cast<double>(query.prompt_tokens) / prefill_rate};
    return route_cost{std::chrono::duration_cast<std::chrono::microseconds>(queue),
                      std::chrono::duration_cast<std::chrono::microseconds>(prefill), load.round_trip};
}

bool router::impl::reachable(const region_name& region) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const auto& entry) { return entry.second.live && entry.second.region == region; });
}

std::optional<route_choice> router::impl::forward(const region_candidate& candidate, const route_query& query,
                                                  time_point now, std::mt19937_64& random,
                                                  std::vector<route_note>& notes)
{
    const auto link = m_links.find(candidate.region);
    if (link == m_links.end() || !link->second.try_take(now)) {
        notes.push_back({route_reason::link_budget_exhausted, candidate.region.str(), 0});
        return std::nullopt;
    }
    route_choice choice;
    choice.action = route_action::forward;
    choice.region = candidate.region;
    choice.peer = pick_peer(candidate.region, query, now, random);
    choice.prefill_tokens = query.prompt_tokens;
    choice.cost = candidate.cost.value_or(route_cost{});
    choice.notes = std::move(notes);
    choice.notes.push_back(
        {route_reason::sent_away, candidate.region.str(), to_milliseconds(choice.cost.total())});
    return choice;
}

vm_name router::impl::pick_peer(const region_name& region, const route_query& query, time_point now,
                                std::mt19937_64& random)
{
    std::vector<std::pair<const vm_name*, peer_model*>> peers;
    for (auto& [name, peer] : m_peers) {
        if (peer.live && peer.region == region) {
            peers.emplace_back(&name, &peer);
        }
    }
    const auto exclude_unless_all = [&](const auto& excluded) {
        if (!std::all_of(peers.begin(), peers.end(), excluded)) {
            std::erase_if(peers, excluded);
        }
    };
    exclude_unless_all([&](const auto& each) { return query.tried_peers.contains(*each.first); });
    exclude_unless_all([&](const auto& each) {
        const auto& suspected = each.second->suspected;
        return suspected.active() && !suspected.probe_due(m_settings, now);
    });
    std::shuffle(peers.begin(), peers.end(), random);
    const bool second = peers.size() > 1 && peers[1].second->in_flight < peers[0].second->in_flight;
    return *peers[second ? 1 : 0].first;
}

error router::impl::no_capacity_error(const route_query& query, const std::vector<route_note>& notes,
                                      time_point now) const
{
    error refused;
    refused.remedy = "try again after the time given";
    refused.retry_after = no_capacity_retry;
    const auto exhausted = std::find_if(notes.begin(), notes.end(), [](const route_note& note) {
        return note.reason == route_reason::link_budget_exhausted;
    });
    if (exhausted == notes.end()) {
        refused.kind = error_kind::upstream_unavailable;
        refused.message = "pool \"" + query.pool.str() + "\" has no live upstream in reach of region \"" +
                          m_home.str() + "\"";
        return refused;
    }
    refused.kind = error_kind::overloaded;
    refused.message =
        "the link from region \"" + m_home.str() + "\" to \"" + exhausted->subject + "\" has no budget left";
    const auto link = m_links.find(region_name{exhausted->subject});
    refused.retry_after =
        link == m_links.end() ? max_link_wait : link->second.time_until_request(max_link_wait, now);
    return refused;
}

std::chrono::microseconds router::impl::target_of(const pool_name& pool) const
{
    if (!m_view.rules) {
        return default_target;
    }
    const auto rule = m_view.rules->pools.find(pool);
    return rule == m_view.rules->pools.end() ? default_target : rule->second.first_token_target;
}

upstream_model* router::impl::model_of(const upstream_name& name)
{
    const auto found = m_upstreams.find(name);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

peer_model* router::impl::peer_of(const vm_name& name)
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

void router::impl::end_attempt(const route_attempt& attempt, std::optional<attempt_failure> failure,
                               time_point now, std::mt19937_64* random)
{
    auto* model = model_of(attempt.upstream);
    auto* peer = peer_of(attempt.peer);
    if (model != nullptr) {
        failure ? model->end_attempt(attempt, now) : model->finished(attempt, now);
    }
    if (peer != nullptr && peer->in_flight > 0) {
        --peer->in_flight;
    }
    auto* suspected = model != nullptr ? &model->suspected : peer != nullptr ? &peer->suspected : nullptr;
    if (suspected == nullptr) {
        return;
    }
    if (failure && is_fault(*failure)) {
        suspected->failed(m_settings, now, *random);
    }
    else if (!failure) {
        suspected->clear();
    }
    else if (attempt.probe) {
        suspected->probe_abandoned();
    }
}

router::router(region_name home, router_settings settings)
    : m_impl(std::make_unique<impl>(std::move(home), settings))
{
}
router::router(router&& other) noexcept = default;
router& router::operator=(router&& other) noexcept = default;
router::~router() = default;

void router::update(const routing_view& view, time_point now)
{
    m_impl->update(view, now);
}

void router::set_limit(const upstream_name& upstream, std::uint32_t limit)
{
    if (auto* model = m_impl->model_of(upstream)) {
        model->set_limit(limit);
    }
}

result<route_choice> router::choose(const route_query& query, time_point now, std::mt19937_64& random)
{
    return m_impl->choose(query, now, random);
}

route_attempt router::started(const route_choice& choice, const route_query& query, time_point now)
{
    route_attempt attempt;
    attempt.upstream = choice.upstream;
    attempt.peer = choice.peer;
    attempt.started = now;
    attempt.prompt_tokens = query.prompt_tokens;
    attempt.prefill_tokens = choice.prefill_tokens;
    attempt.expected_cached_tokens = choice.expected_cached_tokens;
    attempt.probe = choice.probe;
    if (auto* model = m_impl->model_of(choice.upstream)) {
        attempt.prefilled_at_once = model->can_prefill_at_once(now);
        model->started(choice.prefill_tokens, query.prefix_digest, now);
        if (choice.probe) {
            model->suspected.probe_started(now);
        }
    }
    if (auto* peer = m_impl->peer_of(choice.peer)) {
        ++peer->in_flight;
    }
    return attempt;
}

void router::first_byte(route_attempt& attempt, time_point now)
{
    if (attempt.first_byte_at) {
        return;
    }
    if (auto* model = m_impl->model_of(attempt.upstream)) {
        model->first_byte(attempt, now);
        model->suspected.clear();
    }
    attempt.first_byte_at = now;
}

void router::finished(const route_attempt& attempt, time_point now)
{
    m_impl->end_attempt(attempt, std::nullopt, now, nullptr);
}

void router::failed(const route_attempt& attempt, attempt_failure failure, time_point now,
                    std::mt19937_64& random)
{
    m_impl->end_attempt(attempt, failure, now, &random);
}

std::uint32_t router::open_slots(const upstream_name& upstream, time_point now) const
{
    const auto* model = m_impl->model_of(upstream);
    return model == nullptr ? 0 : model->open_slots(m_impl->m_home_vms, now);
}

std::uint32_t router::in_flight(const upstream_name& upstream) const
{
    const auto* model = m_impl->model_of(upstream);
    return model == nullptr ? 0 : model->own_in_flight();
}

pool_load_report router::own_load(const pool_name& pool) const
{
    pool_load_report load;
    for (const auto& [name, model] : m_impl->m_upstreams) {
        if (model.listed().pool != pool || model.listed().region != m_impl->m_home) {
            continue;
        }
        load.in_flight += model.own_in_flight();
        load.slots += model.usable() ? model.listed().slots : 0;
    }
    return load;
}

} // namespace cardamomstream
