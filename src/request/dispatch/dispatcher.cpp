#include "cardamomstream/request/dispatcher.h"

#include "pool_line.h"

#include "cardamomstream/request/admission_slot_gate.h"

#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <variant>

namespace cardamomstream {

namespace {

/// A request that comes again is admitted by the rules in force.
constexpr std::chrono::milliseconds retry_after_rules_changed{100};

} // namespace

class dispatcher::impl {
public:
    impl(region_name home, dispatcher_settings settings, std::uint64_t seed)
        : m_home(std::move(home))
        , m_settings(settings)
        , m_random(seed)
        , m_gate(settings.limit)
    {
        m_routers.try_emplace(m_home, m_home, m_settings.routing);
    }

    void update(const routing_view& view, time_point now);
    result<dispatch_grant> acquire(const dispatch_query& query, cancellation& cancel);
    void first_byte(dispatch_grant& grant, time_point now);
    void end(const dispatch_grant& grant, std::optional<attempt_failure> failure, time_point now);
    void tick(time_point now);
    std::map<pool_name, pool_stats> stats();

private:
    struct pool_key {
        region_name region;
        pool_name pool;
        // False positive of clang-tidy 14: it takes the "< 0" in a defaulted comparison for a null pointer.
        friend auto operator<=>(const pool_key&, const pool_key&) = default; // NOLINT(modernize-use-nullptr)
    };

    router& router_of(const region_name& region, time_point now);
    pool_queue& queue_of(const pool_key& key);
    std::optional<result<dispatch_grant>> try_grant(const dispatch_query& query, time_point now);
    std::optional<std::set<region_name>> narrowed_regions(const dispatch_query& query) const;
    std::variant<result<dispatch_grant>, std::shared_ptr<waiting_request>>
    grant_or_queue(const dispatch_query& query, time_point now);
    void grant_waiting(const pool_key& key, time_point now);
    pool_key key_of(const dispatch_query& query) const;
    void cancel_waiting(const std::shared_ptr<waiting_request>& waiting);
    void update_gate(const vm_list& list);

    std::mutex m_mutex;
    region_name m_home;
    dispatcher_settings m_settings;
    std::mt19937_64 m_random;
    routing_view m_view;
    std::map<region_name, router> m_routers;
    std::map<pool_key, pool_queue> m_queues;
    slot_gate m_gate;
};

void dispatcher::impl::update(const routing_view& view, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (view.list) {
        update_gate(*view.list);
    }
    m_view = view;
    for (auto& [region, region_router] : m_routers) {
        region_router.update(view, now);
    }
    if (view.rules) {
        for (auto& [key, pending] : m_queues) {
            for (const auto& [customer, rule] : view.rules->customers) {
                pending.queue().set_weight(customer, rule.queue_weight);
            }
        }
    }
    for (auto& [key, pending] : m_queues) {
        grant_waiting(key, now);
    }
}

void dispatcher::impl::update_gate(const vm_list& list)
{
    for (const auto& [name, upstream] : list.upstreams) {
        if (upstream.state == listed_state::live) {
            m_gate.open(name, upstream.slots);
        }
        else {
            m_gate.close(name);
        }
    }
    if (m_view.list) {
        for (const auto& [name, upstream] : m_view.list->upstreams) {
            if (!list.upstreams.contains(name)) {
                m_gate.close(name);
            }
        }
    }
}

router& dispatcher::impl::router_of(const region_name& region, time_point now)
{
    const auto [found, created] = m_routers.try_emplace(region, region, m_settings.routing);
    if (created) {
        found->second.update(m_view, now);
    }
    return found->second;
}

pool_queue& dispatcher::impl::queue_of(const pool_key& key)
{
    const auto [found, created] = m_queues.try_emplace(key, m_settings.queue);
    if (created && m_view.rules) {
        for (const auto& [customer, rule] : m_view.rules->customers) {
            found->second.queue().set_weight(customer, rule.queue_weight);
        }
    }
    return found->second;
}

dispatcher::impl::pool_key dispatcher::impl::key_of(const dispatch_query& query) const
{
    return {query.direct_region.value_or(m_home), query.route.pool};
}

std::optional<result<dispatch_grant>> dispatcher::impl::try_grant(const dispatch_query& query, time_point now)
{
    const auto region = query.direct_region.value_or(m_home);
    auto& routing = router_of(region, now);
    auto regions = narrowed_regions(query);
    if (regions && regions->empty()) {
        return result<dispatch_grant>(error{
            error_kind::no_permitted_region, "the customer's regions have changed since the request came",
            "send it again", run_outcome::not_run, retry_after_rules_changed});
    }
    std::optional<route_query> narrowed;
    if (regions) {
        narrowed = query.route;
        narrowed->permitted = std::move(*regions);
    }
    auto choice = routing.choose(narrowed ? *narrowed : query.route, now, m_random);
    if (!choice) {
        return result<dispatch_grant>(choice.error());
    }
    if (choice.value().action == route_action::wait) {
        return std::nullopt;
    }
    if (choice.value().action == route_action::serve && !m_gate.try_acquire(choice.value().upstream)) {
        return std::nullopt;
    }
    dispatch_grant grant{region, query.route.pool, std::move(choice).value(), {}, false};
    grant.attempt = routing.started(grant.choice, query.route, now);
    return result<dispatch_grant>(std::move(grant));
}

/// Regions that both the rules of the request's admission and those in force permit: it may have waited, or
/// be repeated, since then. Empty optional: the rules in force exclude none of its regions.
std::optional<std::set<region_name>> dispatcher::impl::narrowed_regions(const dispatch_query& query) const
{
    if (!m_view.rules) {
        return std::nullopt;
    }
    const auto rule = m_view.rules->customers.find(query.customer);
    if (rule == m_view.rules->customers.end() || rule->second.regions.empty()) {
        return std::nullopt;
    }
    const auto& in_force = rule->second.regions;
    auto regions = query.route.permitted;
    if (regions.empty()) {
        return in_force;
    }
    const auto excluded =
        std::erase_if(regions, [&](const region_name& region) { return !in_force.contains(region); });
    return excluded == 0 ? std::nullopt : std::optional(std::move(regions));
}

std::variant<result<dispatch_grant>, std::shared_ptr<waiting_request>>
dispatcher::impl::grant_or_queue(const dispatch_query& query, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto key = key_of(query);
    auto& pending = queue_of(key);
    auto attempt_query = query;
    attempt_query.route.queue_wait = pending.queue().predicted_wait(query.customer, now);
    if (pending.size() == 0) {
        if (auto immediate_grant = try_grant(attempt_query, now)) {
            return std::move(*immediate_grant);
        }
    }
    auto waiting = std::make_shared<waiting_request>();
    waiting->query = attempt_query;
    if (auto added = pending.add(waiting, now); !added) {
        return result<dispatch_grant>(added.error());
    }
    grant_waiting(key, now);
    return waiting;
}

result<dispatch_grant> dispatcher::impl::acquire(const dispatch_query& query, cancellation& cancel)
{
    auto outcome = grant_or_queue(query, boot_clock::now());
    if (auto* immediate = std::get_if<result<dispatch_grant>>(&outcome)) {
        return std::move(*immediate);
    }
    auto waiting = std::get<std::shared_ptr<waiting_request>>(outcome);
    auto granted = waiting->promise.get_future();
    cancel.set_action([this, waiting] { cancel_waiting(waiting); });
    auto grant = granted.get();
    cancel.clear_action();
    if (grant) {
        grant.value().queued = true;
    }
    return grant;
}

void dispatcher::impl::cancel_waiting(const std::shared_ptr<waiting_request>& waiting)
{
    const std::lock_guard lock(m_mutex);
    if (queue_of(key_of(waiting->query)).remove(waiting->query.id)) {
        waiting->promise.set_value(
            error{error_kind::cancelled, "the caller has left", "", run_outcome::not_run, {}});
    }
}

void dispatcher::impl::grant_waiting(const pool_key& key, time_point now)
{
    queue_of(key).grant_waiting([this, now](const dispatch_query& query) { return try_grant(query, now); },
                                now);
}

void dispatcher::impl::first_byte(dispatch_grant& grant, time_point now)
{
    const std::lock_guard lock(m_mutex);
    router_of(grant.region, now).first_byte(grant.attempt, now);
    if (grant.choice.action != route_action::serve) {
        return;
    }
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - grant.attempt.started);
    m_gate.first_byte(grant.choice.upstream, latency, grant.choice.cost.prefill, now);
    router_of(grant.region, now).set_limit(grant.choice.upstream, m_gate.limit(grant.choice.upstream));
}

void dispatcher::impl::end(const dispatch_grant& grant, std::optional<attempt_failure> failure,
                           time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto& routing = router_of(grant.region, now);
    if (failure) {
        routing.failed(grant.attempt, *failure, now, m_random);
    }
    else {
        routing.finished(grant.attempt, now);
    }
    if (grant.choice.action != route_action::serve) {
        return;
    }
    if (failure == attempt_failure::overloaded || failure == attempt_failure::timeout) {
        m_gate.dropped(grant.choice.upstream);
        routing.set_limit(grant.choice.upstream, m_gate.limit(grant.choice.upstream));
    }
    m_gate.release(grant.choice.upstream);
    grant_waiting({grant.region, grant.pool}, now);
}

void dispatcher::impl::tick(time_point now)
{
    const std::lock_guard lock(m_mutex);
    for (auto& [key, pending] : m_queues) {
        if (pending.size() > 0) {
            grant_waiting(key, now);
        }
    }
}

std::map<pool_name, pool_stats> dispatcher::impl::stats()
{
    const std::lock_guard lock(m_mutex);
    std::map<pool_name, pool_stats> stats_by_pool;
    if (!m_view.rules) {
        return stats_by_pool;
    }
    for (const auto& [pool, rule] : m_view.rules->pools) {
        auto& entry = stats_by_pool[pool];
        entry.own = m_routers.at(m_home).own_load(pool);
        const auto pending = m_queues.find({m_home, pool});
        entry.queued = pending == m_queues.end() ? 0 : pending->second.size();
    }
    return stats_by_pool;
}

dispatcher::dispatcher(region_name home, dispatcher_settings settings, std::uint64_t seed)
    : m_impl(std::make_unique<impl>(std::move(home), settings, seed))
{
}

dispatcher::~dispatcher() = default;

void dispatcher::update(const routing_view& view, time_point now)
{
    m_impl->update(view, now);
}

result<dispatch_grant> dispatcher::acquire(const dispatch_query& query, cancellation& cancel)
{
    return m_impl->acquire(query, cancel);
}

void dispatcher::first_byte(dispatch_grant& grant, time_point now)
{
    m_impl->first_byte(grant, now);
}

void dispatcher::finish(const dispatch_grant& grant, time_point now)
{
    m_impl->end(grant, std::nullopt, now);
}

void dispatcher::fail(const dispatch_grant& grant, attempt_failure failure, time_point now)
{
    m_impl->end(grant, failure, now);
}

void dispatcher::tick(time_point now)
{
    m_impl->tick(now);
}

std::map<pool_name, pool_stats> dispatcher::stats() const
{
    return m_impl->stats();
}

} // namespace cardamomstream
