#include "cardamomstream/request/gateway/gateway_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstream {

namespace {

/// Part of the published ratio that one VM uses. The budget that a window's requests fill may be spent
/// together with what those of the window before have filled, and a request that is passed on counts at two
/// VMs.
constexpr double ratio_part = 0.4;

/// Part of the further sends beside the ratio that all VMs together use.
constexpr double extra_part = 0.8;

/// VMs that share the budget at least, since a VM that has just started has not heard of all.
constexpr std::size_t min_budget_sharers = 8;

constexpr std::uint32_t max_sends = 4; ///< of one request, those that were rejected included

placing_settings placing_of(const node_settings& settings)
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
                             gateway_metrics& metrics, std::uint64_t seed)
    : settings(node)
    , client(upstream_client)
    , log(decisions)
    , counters(metrics)
    , load(placing_of(node))
    , placing(node.region, node.data_centre, placing_of(node), seed, boot_clock::now(), node.inner_listener)
    , random(seed)
{
}

void gateway_state::set_deployment(std::shared_ptr<const deployment_view> next)
{
    load.set_deployment(*next);
    if (next->plan && (!deployment || deployment->plan != next->plan)) {
        quota.set_plan(*next->plan, boot_clock::now());
        counters.plan_version.set(static_cast<double>(next->plan->version()));
    }
    counters.upstreams_usable.set(static_cast<double>(next->upstreams.size()));
    deployment = std::move(next);
}

void gateway_state::set_vms(known_vms heard, std::size_t sharers)
{
    vms = std::move(heard);
    load.set_reports(vms);
    placing.set_vms(vms);
    quota.set_fleet_size(count_vms(vms), sharers);
    for (const auto& vm : vms) {
        auto& learnt = m_learnt[vm->report.vm];
        if (learnt != vm) {
            quota.apply_report(vm->report);
            load.add_reported_lateness(*vm);
            learnt = vm;
        }
    }
    counters.vms_heard.set(static_cast<double>(count_vms(vms)));
    counters.prediction_scale.set(load.prediction_scale());
    counters.log_lines_left_out.set(static_cast<double>(log.left_out()));
    m_sharers = sharers;
    for (auto& [service, retries] : m_retries) {
        retries.budget.set_burst(retry_burst(retries.recent_requests));
    }
}

double gateway_state::retry_burst(double recent_requests) const
{
    const auto vms_sharing = std::max(m_sharers + 1, min_budget_sharers);
    const double extra = settings.bounds.retry_extra * extra_part / static_cast<double>(vms_sharing);
    return std::max(1.0, extra + settings.bounds.retry_ratio * ratio_part * recent_requests);
}

retry_budget& gateway_state::retries_of(const pool_name& service)
{
    return retries_entry(service).budget;
}

void gateway_state::count_request(const pool_name& service, time_point now)
{
    auto& retries = retries_entry(service);
    const std::chrono::duration<double> passed = now - retries.counted_at;
    const std::chrono::duration<double> window = settings.bounds.retry_window;
    retries.recent_requests = retries.recent_requests * std::exp(-passed / window) + 1;
    retries.counted_at = now;
    retries.budget.set_burst(retry_burst(retries.recent_requests));
    retries.budget.on_request();
}

gateway_state::service_retries& gateway_state::retries_entry(const pool_name& service)
{
    const auto found = m_retries.find(service);
    if (found != m_retries.end()) {
        return found->second;
    }
    retry_settings limits;
    limits.fraction = settings.bounds.retry_ratio * ratio_part;
    limits.burst = retry_burst(0);
    limits.max_attempts = max_sends;
    limits.backoff_base = std::chrono::milliseconds{4};
    limits.backoff_max = std::chrono::milliseconds{50};
    return m_retries.emplace(service, service_retries{retry_budget(limits), 0, boot_clock::now()})
        .first->second;
}

} // namespace cardamomstream
