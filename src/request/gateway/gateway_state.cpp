#include "cardamomstream/request/gateway/gateway_state.h"

#include "cardamomstream/connection/contained_call.h"
#include "cardamomstream/connection/traffic_thread.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace cardamomstream {

namespace {

/// Fraction of the published retry ratio that a VM uses. The margin is needed because the budget saved in one
/// window may be spent together with that of the next, and a request that is passed on counts at two VMs.
constexpr double ratio_fraction = 0.4;

/// Fraction of the published extra retries (beyond the ratio) that all VMs together use.
constexpr double extra_fraction = 0.8;

/// The extra retries are divided by at least this number of VMs, since a VM that has just started does not
/// know all of them.
constexpr std::size_t min_budget_sharers = 8;

constexpr std::uint32_t max_sends = 4; ///< of one request, including rejected sends

/// No byte from any of the upstreams with requests of this VM for so long: its links may be lost.
constexpr std::chrono::milliseconds common_silence{700};

constexpr std::size_t max_link_targets = 3;
constexpr std::chrono::milliseconds link_connect_limit{300};
/// A connection that is refused by a firewall may be made and reset at once.
constexpr std::chrono::milliseconds link_settle_time{30};

placing_settings placing_settings_from(const node_settings& settings)
{
    placing_settings placing;
    placing.cold_factor = settings.bounds.cold_factor;
    placing.cold_slack = settings.bounds.cold_slack;
    const auto here = std::count_if(settings.regions.begin(), settings.regions.end(),
                                    [&](const auto& place) { return place.second == settings.region; });
    placing.data_centres_of_region = static_cast<std::size_t>(std::max<std::ptrdiff_t>(here, 1));
    return placing;
}

} // namespace

gateway_state::gateway_state(const node_settings& node, http_client& upstream_client, decision_log& decisions,
                             gateway_metrics& metrics, std::uint64_t seed, std::size_t answer_bytes)
    : settings(node)
    , client(upstream_client)
    , log(decisions)
    , counters(metrics)
    , load(placing_settings_from(node))
    , placing(node.region, node.data_centre, placing_settings_from(node), seed, boot_clock::now(),
              node.inner_listener)
    , quarantine(node.inner_listener)
    , request_quarantine(node.inner_listener, whole_request_quarantine())
    , probe(upstream_client)
    , held_answers(answer_bytes)
    , random(seed)
{
}

void gateway_state::set_deployment(std::shared_ptr<const deployment_view> next)
{
    load.set_deployment(*next);
    origins.set_listed(next->versions, boot_clock::now());
    if (next->plan && (!deployment || deployment->plan != next->plan)) {
        quota.set_plan(*next->plan, boot_clock::now());
        counters.plan_version.set(static_cast<double>(next->plan->version()));
        for (const auto& route : next->plan->document().routes) {
            if (route.resumable) {
                origins.set_stream_life(route.timeout);
            }
        }
        if (on_plan) {
            on_plan(*next->plan);
        }
    }
    counters.upstreams_usable.set(static_cast<double>(next->upstreams.size()));
    deployment = std::move(next);
}

void gateway_state::set_vms(known_vms reports, std::size_t sharers)
{
    vms = std::move(reports);
    const auto now = boot_clock::now();
    restarts.update(vms, now);
    if (!ready() && settings.entry_listener) {
        restarts.note_restart(settings.region, now);
    }
    load.set_reports(vms);
    placing.set_vms(vms);
    quota.set_fleet_size(count_vms(vms), sharers);
    for (const auto& vm : vms) {
        auto& applied = m_applied_reports[vm->report.vm];
        if (applied != vm) {
            quota.apply_report(vm->report);
            load.add_reported_lateness(*vm);
            load.apply_reported_limits(*vm);
            load.apply_reported_works(*vm);
            load.apply_reported_ends(*vm);
            for (auto* suspects : {&quarantine, &request_quarantine}) {
                on_quarantine_changes(suspects->apply_reported(vm->report, vm->received_at), vm->report.vm);
            }
            origins.apply_reported(vm->report.stream_origins, vm->received_at);
            applied = vm;
        }
    }
    counters.vms_reporting.set(static_cast<double>(count_vms(vms)));
    counters.prediction_scale.set(load.prediction_scale());
    counters.log_lines_left_out.set(static_cast<double>(log.left_out()));
    m_sharers = sharers;
    for (auto& [service, retries] : m_retries) {
        retries.budget.set_burst(retry_burst(retries.recent_requests));
    }
}

void gateway_state::learn_origins(const vm_name& vm, const origin_knowledge& known)
{
    const bool without_gap = origins.learn(known, boot_clock::now());
    std::size_t streams = 0;
    for (const auto& origin : known.streams) {
        streams += origin.attempts.size();
    }
    log.write(log_weight::state, "origins_learned",
              {{"vm", vm.str()},
               {"list_known_ms", std::int64_t{known.list_known.count()}},
               {"without_gap", std::int64_t{without_gap ? 1 : 0}},
               {"versions", static_cast<std::int64_t>(known.versions.size())},
               {"streams", static_cast<std::int64_t>(streams)}});
}

bool gateway_state::plan_may_be_outdated(time_point now) const
{
    if (plan_behind_since && now - *plan_behind_since >= usual_news_lag) {
        return true;
    }
    return plan_confirmed_at && now - *plan_confirmed_at >= settings.bounds.plan_trust_time();
}

void gateway_state::note_link_failure(const upstream_name& upstream)
{
    const auto now = boot_clock::now();
    links.record_failure(upstream, now);
    try_links_if_due(now);
}

void gateway_state::tend_links()
{
    const auto now = boot_clock::now();
    for (const auto& upstream : load.all_silent(settings.region, common_silence, now)) {
        links.record_failure(upstream, now);
    }
    try_links_if_due(now);
}

std::vector<upstream_end> gateway_state::own_upstream_ends()
{
    return links.undecided() || links.lost() ? std::vector<upstream_end>{} : load.own_ends(boot_clock::now());
}

void gateway_state::try_links_if_due(time_point now)
{
    if (!links.round_due(now)) {
        return;
    }
    links.begin_round(now);
    traffic_thread::start_here([this] {
        if (!run_contained("links could not be tried", [this] { try_links(); })) {
            (void)links.end_round(0, 0, boot_clock::now());
        }
    }).detach();
}

/// Upstreams of the region, of several services and such as have not failed lately, if possible.
std::vector<endpoint> gateway_state::link_targets(time_point now)
{
    std::vector<const upstream_view*> views;
    for (const auto& [id, upstream] : load.all()) {
        if (upstream.view.region == settings.region) {
            views.push_back(&upstream.view);
        }
    }
    std::shuffle(views.begin(), views.end(), random);
    std::stable_partition(views.begin(), views.end(),
                          [&](const upstream_view* view) { return !links.has_failed(view->record.id, now); });
    std::set<pool_name> services;
    std::stable_partition(views.begin(), views.end(), [&](const upstream_view* view) {
        return services.insert(view->record.service).second;
    });
    views.resize(std::min(views.size(), max_link_targets));
    std::vector<endpoint> targets;
    targets.reserve(views.size());
    for (const auto* view : views) {
        targets.push_back(view->record.address);
    }
    return targets;
}

bool gateway_state::reaches(const endpoint& upstream)
{
    const auto found = client.probe(upstream, link_connect_limit, link_settle_time);
    // An upstream that has reached its number of connections closes further ones.
    return found == reachability::accepts ||
           (found == reachability::closes && load.has_answered_since(boot_clock::now() - common_silence));
}

void gateway_state::try_links()
{
    const auto targets = link_targets(boot_clock::now());
    std::size_t reached = 0;
    std::vector<boost::fibers::fiber> attempts;
    attempts.reserve(targets.size());
    for (const auto& target : targets) {
        attempts.push_back(
            traffic_thread::start_here([this, &target, &reached] { reached += reaches(target) ? 1 : 0; }));
    }
    for (auto& attempt : attempts) {
        attempt.join();
    }
    const auto now = boot_clock::now();
    if (!links.end_round(targets.size(), reached, now)) {
        if (!links.lost() && request_early_report && !load.own_ends(now).empty()) {
            request_early_report(); // they were held back
        }
        return;
    }
    load.set_links_lost(links.lost(), placing.others_linked(), now);
    counters.links_lost.set(links.lost() ? 1 : 0);
    log.write(log_weight::state, links.lost() ? "links_lost" : "links_back",
              {{"tried", static_cast<std::int64_t>(targets.size())},
               {"reached", static_cast<std::int64_t>(reached)}});
    if (request_early_report) {
        request_early_report();
    }
}

void gateway_state::begin_stop(time_point strict_from, time_point deadline)
{
    m_stop_strict_from = strict_from;
    m_stop_deadline = deadline; // last, since it makes the stop visible
}

bool gateway_state::answers_before_end(const plan_route& route, std::chrono::milliseconds time_left,
                                       time_point now) const
{
    const auto deadline = m_stop_deadline.load();
    if (deadline == time_point::max()) {
        return true;
    }
    // The estimate is wrong for some requests. Calls that may be repeated lose little by it; others are taken
    // by it only if no other VM would take them.
    const bool estimated =
        now < m_stop_strict_from.load() && (route.kind == call_kind::idempotent || !another_vm_ready());
    const auto needed = estimated ? std::min(times.upper_bound(route.name), time_left) : time_left;
    return now + needed <= deadline;
}

bool gateway_state::another_vm_ready() const
{
    bool found = false;
    visit_vms(vms, [&](const vm_report& report, const vm_member& vm, time_point /*received_at*/) {
        found = found || (vm.ready && vm.entry.port != 0 && report.region == settings.region);
    });
    return found;
}

void gateway_state::end_unanswered() const
{
    for (const auto& request : served) {
        request.end_unanswered();
    }
}

void gateway_state::on_quarantine_changes(const std::vector<quarantine_change>& changes,
                                          const vm_name& source)
{
    for (const auto& change : changes) {
        const bool part = change.subject == crash_subject::prompt_part;
        const auto* event = change.quarantined ? (part ? "prompt_part_quarantined" : "request_quarantined")
                                               : (part ? "prompt_part_cleared" : "request_cleared");
        log.write(log_weight::state, event,
                  {{part ? "part" : "digest", fmt::format("{:x}", change.part)},
                   {"crashes", static_cast<std::int64_t>(change.crashes)},
                   {"source", source.str()}});
    }
    if (!changes.empty()) {
        counters.parts_quarantined.set(static_cast<double>(quarantine.quarantined()));
        counters.requests_quarantined.set(static_cast<double>(request_quarantine.quarantined()));
    }
    const bool parts_due = quarantine.take_early_report_due();
    if ((request_quarantine.take_early_report_due() || parts_due) && request_early_report) {
        request_early_report();
    }
}

double gateway_state::retry_burst(double recent_requests) const
{
    const auto vms_sharing = std::max(m_sharers + 1, min_budget_sharers);
    const double extra = settings.bounds.retry_extra * extra_fraction / static_cast<double>(vms_sharing);
    return std::max(1.0, extra + settings.bounds.retry_ratio * ratio_fraction * recent_requests);
}

retry_budget& gateway_state::retry_budget_for(const pool_name& service)
{
    return find_or_add_retries(service).budget;
}

void gateway_state::count_request(const pool_name& service, time_point now)
{
    auto& retries = find_or_add_retries(service);
    const std::chrono::duration<double> passed = now - retries.counted_at;
    const std::chrono::duration<double> window = settings.bounds.retry_window;
    retries.recent_requests = retries.recent_requests * std::exp(-passed / window) + 1;
    retries.counted_at = now;
    retries.budget.set_burst(retry_burst(retries.recent_requests));
    retries.budget.on_request();
}

gateway_state::service_retries& gateway_state::find_or_add_retries(const pool_name& service)
{
    const auto found = m_retries.find(service);
    if (found != m_retries.end()) {
        return found->second;
    }
    retry_settings budget_settings;
    budget_settings.fraction = settings.bounds.retry_ratio * ratio_fraction;
    budget_settings.burst = retry_burst(0);
    budget_settings.max_attempts = max_sends;
    budget_settings.backoff_base = std::chrono::milliseconds{4};
    budget_settings.backoff_max = std::chrono::milliseconds{50};
    return m_retries.emplace(service, service_retries{retry_budget(budget_settings), 0, boot_clock::now()})
        .first->second;
}

} // namespace cardamomstream
