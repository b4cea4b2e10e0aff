#include "cardamomstream/request/placing/fleet_load.h"

#include "cardamomstream/core/bounded_number.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

/// A request that was passed on appears in the other region's reports after two inter-region delays and one
/// report interval.
constexpr std::chrono::milliseconds hop_report_delay{450};

/// Prompt parts that were not used for longer may have been evicted from the engine's cache.
constexpr std::chrono::seconds cached_part_ttl{30};
constexpr std::size_t max_cached_parts = 4'096;

/// Longer than the second to which the limit of a cold upstream applies.
constexpr std::chrono::seconds recent_send_window{2};

/// Connections that break within this time broke together.
constexpr std::chrono::milliseconds break_window{300};
constexpr std::ptrdiff_t breaks_of_end = 2; ///< fewer may be resets of single connections

constexpr double failure_weight = 0.04;          ///< weight of one send in the moving average
constexpr double run_time_weight = 0.02;         ///< weight of one stream in the moving average
constexpr double prediction_scale_weight = 0.05; ///< weight of one first event in the moving average
constexpr std::chrono::milliseconds min_measured_prefill{100}; ///< the batch step dominates shorter ones
constexpr double min_prediction_scale = 0.5;
constexpr double max_prediction_scale = 3;

/// Failures so long before links are found lost are theirs.
constexpr std::chrono::seconds link_loss_notice{2};

/// An upstream that rejected a request for lack of capacity gets no requests for this time, in which some of
/// its running requests end.
constexpr std::chrono::milliseconds full_backoff{150};

/// From the last refused connection, and from when the list is known again, until the entry of a process that
/// has started again is known.
constexpr std::chrono::milliseconds version_uncertainty{3'000};

/// A report is sent early when the prefill time sent since the last report exceeds this.
constexpr std::chrono::milliseconds early_report_threshold{60};

constexpr std::chrono::milliseconds min_suspicion_time{300};
constexpr std::chrono::milliseconds max_suspicion_time{3'000};
constexpr std::uint32_t failures_until_suspected = 3; ///< in a row; a single failed connection suffices

/// After this many failed connections without an answer in between, an upstream is tried only once in each
/// interval. The interval is longer than a connection attempt may take.
constexpr std::uint32_t connect_failures_until_paced = 3;
constexpr std::chrono::milliseconds paced_attempt_interval{400};

} // namespace

std::string_view to_text(send_outcome outcome) noexcept
{
    switch (outcome) {
    case send_outcome::answered:
        return "answered";
    case send_outcome::failed:
        return "failed";
    case send_outcome::broken:
        return "broken";
    case send_outcome::unreachable:
        return "unreachable";
    case send_outcome::silent:
        return "silent";
    case send_outcome::rejected:
        return "rejected";
    case send_outcome::abandoned:
        return "abandoned";
    }
    return "unknown";
}

std::string_view to_text(placing_verdict verdict) noexcept
{
    switch (verdict) {
    case placing_verdict::here:
        return "here";
    case placing_verdict::other_vm:
        return "other_vm";
    case placing_verdict::other_region:
        return "other_region";
    case placing_verdict::no_upstream:
        return "no_upstream";
    case placing_verdict::unreachable:
        return "unreachable";
    case placing_verdict::overloaded:
        return "overloaded";
    case placing_verdict::cold:
        return "cold";
    case placing_verdict::limited:
        return "limited";
    case placing_verdict::paused:
        return "paused";
    }
    return "unknown";
}

fleet_load::fleet_load(placing_settings settings)
    : m_settings(settings)
{
}

void fleet_load::set_deployment(const deployment_view& deployment)
{
    std::unordered_map<upstream_name, upstream_state> kept;
    m_statements.begin_listing();
    for (const auto& view : deployment.upstreams) {
        auto& state = kept[view.record.id];
        const auto known = m_upstreams.find(view.record.id);
        if (known != m_upstreams.end()) {
            if (known->second.view.record.started_unix_ms == view.record.started_unix_ms) {
                state = std::move(known->second);
            }
            else {
                // The new process may have got them before it was listed.
                state.recent_sends = std::move(known->second.recent_sends);
            }
            m_upstreams.erase(known);
        }
        else if (const auto unlisted = m_unlisted_sends.extract(view.record.id)) {
            state.recent_sends = std::move(unlisted.mapped());
        }
        state.view = view;
        m_statements.on_listed(view.record.id, view.record.started_unix_ms);
        m_ends.on_listed(view.record.id, view.record.started_unix_ms);
        const auto* service = deployment.plan ? deployment.plan->find_service(view.record.service) : nullptr;
        if (service != nullptr && service->engine) {
            state.engine_batch = service->engine->batch;
            state.memory_tokens = service->engine->memory_tokens;
            state.tokens_per_event = service->engine->tokens_per_event;
        }
    }
    for (auto& [id, state] : m_upstreams) {
        if (!state.recent_sends.empty()) {
            m_unlisted_sends[id] = std::move(state.recent_sends);
        }
    }
    m_upstreams = std::move(kept);
    std::erase_if(m_unreadable_loads,
                  [&](const upstream_name& upstream) { return !m_upstreams.contains(upstream); });
    // Reports may include upstreams that were unknown when the reports came.
    for (auto& [id, state] : m_upstreams) {
        state.others = {};
    }
    for (const auto& [name, vm] : m_counted_reports) {
        add_loads(*vm);
    }
}

void fleet_load::set_reports(const known_vms& vms)
{
    std::unordered_map<vm_name, std::shared_ptr<const known_vm>> counted;
    for (const auto& vm : vms) {
        auto node = m_counted_reports.extract(vm->report.vm);
        if (node && node.mapped() == vm) {
            counted.insert(std::move(node));
            continue;
        }
        if (node) {
            subtract_loads(*node.mapped());
        }
        add_loads(*vm);
        counted.emplace(vm->report.vm, vm);
    }
    for (const auto& [name, vm] : m_counted_reports) {
        subtract_loads(*vm);
    }
    m_counted_reports = std::move(counted);
}

void fleet_load::add_loads(const known_vm& vm)
{
    for (const auto& load : vm.report.loads) {
        const auto found = m_upstreams.find(load.upstream);
        if (found == m_upstreams.end()) {
            continue;
        }
        auto& others = found->second.others;
        others.running += load.running;
        others.memory_tokens += load.memory_tokens;
        others.prefill_left += load.prefill_left;
        for (const auto part : load.new_parts) {
            found->second.cached_parts[part] = vm.received_at;
        }
    }
}

void fleet_load::subtract_loads(const known_vm& vm)
{
    for (const auto& load : vm.report.loads) {
        const auto found = m_upstreams.find(load.upstream);
        if (found == m_upstreams.end()) {
            continue;
        }
        auto& others = found->second.others;
        others.running -= std::min(others.running, load.running);
        others.memory_tokens -= std::min(others.memory_tokens, load.memory_tokens);
        others.prefill_left -= std::min(others.prefill_left, load.prefill_left);
    }
}

void fleet_load::add_reported_lateness(const known_vm& vm)
{
    m_lateness.add_reported(vm.report.region, vm.report.lateness, vm.received_at);
}

std::vector<lateness_sample> fleet_load::take_lateness()
{
    auto samples = m_lateness.take_unreported();
    if (m_links_lost) {
        samples.clear();
    }
    return samples;
}

std::chrono::milliseconds fleet_load::lateness(const placing_request& request, const region_name& region,
                                               time_point now) const
{
    return m_lateness.expected({request.service, region, request.urgency}, now);
}

void fleet_load::sample_lateness(const sent_request& sent, time_point now)
{
    m_lateness.sample(sent.lateness_class, now - sent.sent_at - sent.predicted_from_load, now);
}

sent_request fleet_load::begin_request(const upstream_name& upstream, const placing_request& request,
                                       std::chrono::milliseconds predicted, time_point now)
{
    sent_request sent;
    sent.upstream = upstream;
    sent.number = ++m_last_number;
    sent.sent_at = now;
    sent.predicted = predicted;
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return sent;
    }
    auto& state = found->second;
    sent.started_unix_ms = state.view.record.started_unix_ms;
    sent.lateness_class = {request.service, state.view.region, request.urgency};
    sent.predicted_from_load =
        std::max(predicted - lateness(request, state.view.region, now), std::chrono::milliseconds{0});
    sent.prefill = prefill_time(state, request, now);
    sent.memory = request.prompt_tokens + request.answer_tokens;
    if (state.own.running == 0) {
        state.last_active_at = now; // no answer was due until now
    }
    state.own.running += 1;
    if (state.consecutive_connect_failures >= connect_failures_until_paced) {
        state.next_attempt_at = now + paced_attempt_interval;
    }
    if (state.pending_prefills.empty()) {
        state.prefill_started_at = now;
    }
    state.pending_prefills.push_back({sent.number, sent.prefill});
    m_unreported_prefill += sent.prefill;
    state.own.memory_tokens += sent.memory;
    m_statements.count_send(upstream, now);
    while (!state.recent_sends.empty() && now - state.recent_sends.front() > recent_send_window) {
        state.recent_sends.pop_front();
    }
    state.recent_sends.push_back(now);
    if (state.cached_parts.size() > max_cached_parts) {
        std::erase_if(state.cached_parts,
                      [&](const auto& part) { return now - part.second > cached_part_ttl / 2; });
    }
    for (std::size_t at = 0; at + 1 < request.parts.size(); ++at) {
        state.cached_parts[request.parts[at].id] = now;
        state.own.new_parts.push_back(request.parts[at].id);
    }
    return sent;
}

void fleet_load::on_first_event(sent_request& sent, time_point now)
{
    if (std::exchange(sent.first_event_seen, true)) {
        return;
    }
    sent.first_event_at = now;
    auto* state = state_of(sent);
    if (state == nullptr || sent.sent_at < m_links_back_at) {
        return;
    }
    remove_pending_prefill(*state, sent.number, now);
    if (m_links_lost) {
        return;
    }
    sample_lateness(sent, now);
    if (state->engine_batch > 0 && sent.prefill >= min_measured_prefill) {
        const double ratio = std::chrono::duration<double, std::milli>(now - sent.sent_at).count() /
                             static_cast<double>(sent.predicted.count());
        m_prediction_scale = std::clamp(
            m_prediction_scale * (1 + prediction_scale_weight * (std::min(ratio, max_prediction_scale) - 1)),
            min_prediction_scale, max_prediction_scale);
    }
}

void fleet_load::end_request(sent_request& sent, send_outcome outcome, time_point now)
{
    // What is known of an earlier process says nothing of the one that is listed now.
    auto* listed = state_of(sent);
    if (listed == nullptr || sent.sent_at < m_links_back_at) {
        return;
    }
    auto& state = *listed;
    state.own.running -= std::min(state.own.running, 1U);
    state.own.memory_tokens = std::max<token_count>(0, state.own.memory_tokens - sent.memory);
    if (!sent.first_event_seen) {
        remove_pending_prefill(state, sent.number, now);
    }
    if (outcome == send_outcome::abandoned || m_links_lost) {
        return;
    }
    if (outcome == send_outcome::unreachable) {
        state.refused_connection_at = now;
        std::erase(state.recent_sends, sent.sent_at);
    }
    if (outcome == send_outcome::unreachable &&
        ++state.consecutive_connect_failures >= connect_failures_until_paced) {
        state.next_attempt_at = now + paced_attempt_interval;
    }
    if (outcome == send_outcome::rejected) {
        state.full_until = now + full_backoff;
    }
    if (state.engine_batch > 0 && sent.first_event_seen && outcome == send_outcome::answered) {
        auto& mean =
            m_run_times.try_emplace(sent.lateness_class.service, m_settings.mean_run_time).first->second;
        mean += run_time_weight * (now - sent.first_event_at - mean);
    }
    const bool answered = outcome == send_outcome::answered || outcome == send_outcome::failed;
    if (!sent.first_event_seen && (answered || outcome == send_outcome::silent)) {
        sample_lateness(sent, now);
    }
    const bool failure = outcome != send_outcome::answered && outcome != send_outcome::rejected;
    count_outcome(state, failure);
    if (failure && outcome != send_outcome::failed) {
        record_failure(state, now, outcome != send_outcome::broken);
        return;
    }
    state.consecutive_failures = 0;
    mark_active(state, now);
}

std::chrono::milliseconds fleet_load::run_time(const pool_name& service) const
{
    const auto found = m_run_times.find(service);
    return found == m_run_times.end() ? m_settings.mean_run_time
                                      : std::chrono::floor<std::chrono::milliseconds>(found->second);
}

load_news fleet_load::record_load(const sent_request& sent, const load_statement& statement, time_point now)
{
    if (!statement.valid) {
        return find(sent.upstream) != nullptr && m_unreadable_loads.insert(sent.upstream).second
                   ? load_news::unreadable
                   : load_news::none;
    }
    if (!statement.work_percent || find(sent.upstream) == nullptr || has_restarted(sent)) {
        return load_news::none;
    }
    m_work.record(sent.upstream, sent.started_unix_ms, *statement.work_percent, now);
    return m_services_stating_work.insert(sent.lateness_class.service).second ? load_news::shares_machine
                                                                              : load_news::none;
}

void fleet_load::record_silence(const sent_request& sent, time_point now)
{
    auto* state = state_of(sent);
    if (state == nullptr || m_links_lost || sent.sent_at < m_links_back_at) {
        return;
    }
    count_outcome(*state, true);
    record_failure(*state, now, true);
}

void fleet_load::count_outcome(upstream_state& state, bool failure)
{
    state.outcomes += 1;
    state.failure_rate += failure_weight * ((failure ? 1.0 : 0.0) - state.failure_rate);
}

void fleet_load::record_process_end(const upstream_name& upstream, time_point now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    found->second.refused_connection_at = now;
    record_failure(found->second, now, true);
}

std::optional<std::string> fleet_load::version_of(const upstream_state& state, time_point now) const
{
    if (state.refused_connection_at == time_point{}) {
        return state.view.record.version;
    }
    if (!m_list_known_since ||
        now - std::max(state.refused_connection_at, *m_list_known_since) < version_uncertainty) {
        return std::nullopt;
    }
    return state.view.record.version;
}

void fleet_load::mark_active(upstream_state& state, time_point now)
{
    state.last_active_at = now;
    state.consecutive_connect_failures = 0;
    state.next_attempt_at = {};
}

void fleet_load::record_failure(upstream_state& state, time_point now, bool unreachable)
{
    state.consecutive_failures += 1;
    if (!unreachable && state.consecutive_failures < failures_until_suspected) {
        return;
    }
    const auto doublings = std::min(state.consecutive_failures - 1, 4U);
    state.suspected_until = now + std::min(min_suspicion_time * (1U << doublings), max_suspicion_time);
    state.cached_parts.clear(); // a restarted engine has an empty cache
}

void fleet_load::record_hop(const upstream_name& upstream, const placing_request& request, time_point now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    auto& state = found->second;
    m_statements.count_send(upstream, now);
    state.hops.emplace_back(now, prefill_time(state, request, now));
    for (std::size_t at = 0; at + 1 < request.parts.size(); ++at) {
        state.cached_parts[request.parts[at].id] = now;
    }
    while (!state.hops.empty() && now - state.hops.front().first > hop_report_delay) {
        state.hops.pop_front();
    }
}

void fleet_load::record_activity(const sent_request& sent, time_point now)
{
    m_last_byte_at = now;
    if (sent.connected_at != time_point{}) {
        m_ends.record_answer(sent.upstream, {sent.connected_at, sent.sent_at, now});
    }
    if (auto* state = state_of(sent)) {
        mark_active(*state, now);
    }
}

void fleet_load::record_write(const sent_request& sent, time_point now)
{
    const auto found = m_upstreams.find(sent.upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    auto& sends = found->second.recent_sends;
    if (const auto at = std::find(sends.begin(), sends.end(), sent.sent_at); at != sends.end()) {
        sends.erase(at);
        sends.push_back(now);
    }
}

bool fleet_load::record_no_process(const sent_request& sent, time_point now)
{
    return state_of(sent) != nullptr &&
           m_ends.record_end(sent.upstream, sent.started_unix_ms, now, std::chrono::nanoseconds{0});
}

void fleet_load::record_break(const sent_request& sent, time_point now)
{
    auto* state = state_of(sent);
    if (state == nullptr) {
        return;
    }
    auto& breaks = state->recent_breaks;
    std::erase_if(breaks, [&](time_point at) { return now - at > break_window; });
    breaks.push_back(now);
}

bool fleet_load::record_common_break(const sent_request& sent, std::optional<bool> idle_open,
                                     time_point broke_at)
{
    const auto* state = state_of(sent);
    if (state == nullptr || idle_open.value_or(false)) {
        return false;
    }
    const auto is_recent = [&](time_point at) {
        return at > broke_at - break_window && at < broke_at + break_window;
    };
    const auto breaks_of = [&](const upstream_state& one) {
        return std::count_if(one.recent_breaks.begin(), one.recent_breaks.end(), is_recent);
    };
    const bool elsewhere = std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& item) {
        return item.first != sent.upstream && breaks_of(item.second) > 0;
    });
    const auto broken = breaks_of(*state) + (idle_open ? 1 : 0);
    const auto answered = m_ends.last_answer_on_older(sent.upstream, broke_at);
    const auto sent_since = std::count_if(state->recent_sends.begin(), state->recent_sends.end(),
                                          [&](time_point at) { return at > broke_at; });
    const bool others_open = std::cmp_greater(state->own.running, sent_since);
    if (elsewhere || others_open || broken < breaks_of_end || (answered && *answered > broke_at)) {
        return false;
    }
    const auto used_since = sent.connected_at == time_point{} ? sent.sent_at : sent.connected_at;
    return m_ends.record_end(sent.upstream, sent.started_unix_ms, broke_at, broke_at - used_since);
}

bool fleet_load::may_be_cold(const upstream_state& state, std::chrono::milliseconds cold_time,
                             time_point now) const
{
    return state.view.cold_until > now || m_ends.may_have_restarted(state.view.record.id, cold_time, now);
}

void fleet_load::set_links_lost(bool lost, bool others_linked, time_point now)
{
    m_links_lost = lost;
    (lost ? m_links_lost_at : m_links_back_at) = now;
    m_lateness.clear();
    const auto failed_since = m_links_lost_at - link_loss_notice;
    if (!lost && others_linked) {
        m_ends.discard_own(failed_since);
    }
    for (auto& [id, state] : m_upstreams) {
        state.failure_rate = 0;
        state.outcomes = 0;
        state.consecutive_failures = 0;
        state.consecutive_connect_failures = 0;
        state.next_attempt_at = {};
        state.suspected_until = {};
        state.recent_breaks.clear();
        if (lost) {
            continue;
        }
        state.last_active_at = now;
        state.own.running = 0;
        state.own.memory_tokens = 0;
        state.pending_prefills.clear();
        if (others_linked && state.refused_connection_at >= failed_since) {
            state.refused_connection_at = {};
        }
    }
}

std::vector<upstream_name> fleet_load::all_silent(const region_name& region, std::chrono::milliseconds limit,
                                                  time_point now) const
{
    std::vector<upstream_name> silent;
    for (const auto& [id, state] : m_upstreams) {
        if (state.view.region != region || state.own.running == 0) {
            continue;
        }
        if (!is_silent(state, now, limit)) {
            return {};
        }
        silent.push_back(id);
    }
    return silent;
}

void fleet_load::apply_reported_ends(const known_vm& vm)
{
    for (const auto& end : vm.report.upstream_ends) {
        const auto* state = find(end.upstream);
        if (state != nullptr && end.started_unix_ms >= state->view.record.started_unix_ms) {
            m_ends.record_reported(end.upstream, end.started_unix_ms, vm.received_at - end.age);
        }
    }
}

fleet_load::upstream_state* fleet_load::state_of(const sent_request& sent)
{
    const auto found = m_upstreams.find(sent.upstream);
    return found == m_upstreams.end() || has_restarted(sent) ? nullptr : &found->second;
}

bool fleet_load::has_restarted(const sent_request& sent) const
{
    const auto* state = find(sent.upstream);
    return state != nullptr && state->view.record.started_unix_ms != sent.started_unix_ms;
}

bool fleet_load::record_limit(const sent_request& sent, const limit_statement& statement, time_point now)
{
    return !has_restarted(sent) &&
           m_statements.record_limit(sent.upstream, sent.started_unix_ms, statement, sent.sent_at, now);
}

bool fleet_load::record_leaving(const sent_request& sent, time_point now)
{
    return !has_restarted(sent) && m_statements.record_leaving(sent.upstream, sent.started_unix_ms, now);
}

void fleet_load::record_pause(const sent_request& sent, std::optional<std::chrono::milliseconds> pause,
                              time_point now)
{
    if (!has_restarted(sent)) {
        m_statements.record_pause(sent.upstream, sent.started_unix_ms, pause, sent.sent_at, now);
    }
}

void fleet_load::apply_reported_limits(const known_vm& vm)
{
    m_statements.apply_reported(vm.report.limits, vm.received_at);
}

bool fleet_load::is_silent(const upstream_state& state, time_point now, std::chrono::milliseconds limit) const
{
    return state.own.running > 0 && now - state.last_active_at > limit;
}

const fleet_load::upstream_state* fleet_load::find(const upstream_name& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

void fleet_load::remove_pending_prefill(upstream_state& state, std::uint64_t number, time_point now)
{
    std::erase_if(state.pending_prefills, [&](const pending_prefill& one) { return one.number == number; });
    state.prefill_started_at = now;
}

bool fleet_load::take_early_report_due()
{
    if (m_unreported_prefill < early_report_threshold) {
        return false;
    }
    m_unreported_prefill = {};
    return true;
}

std::vector<upstream_load> fleet_load::take_loads(time_point now)
{
    std::erase_if(m_unlisted_sends,
                  [&](const auto& item) { return now - item.second.back() > recent_send_window; });
    std::vector<upstream_load> loads;
    for (auto& [id, state] : m_upstreams) {
        if (state.own.running > 0 || !state.own.new_parts.empty()) {
            loads.push_back(state.own);
            loads.back().upstream = id;
            loads.back().prefill_left = own_prefill_left(state, now);
            state.own.new_parts.clear();
        }
    }
    if (m_links_lost) {
        loads.clear();
    }
    return loads;
}

std::uint32_t fleet_load::running(const upstream_state& state, time_point now) const
{
    std::uint32_t hops = 0;
    for (const auto& [at, prefill] : state.hops) {
        hops += now - at <= hop_report_delay ? 1U : 0U;
    }
    return (m_links_lost ? 0 : state.own.running) + state.others.running + hops;
}

token_count fleet_load::memory(const upstream_state& state) const
{
    return (m_links_lost ? 0 : state.own.memory_tokens) + state.others.memory_tokens;
}

std::chrono::milliseconds fleet_load::own_prefill_left(const upstream_state& state, time_point now) const
{
    if (state.pending_prefills.empty() || m_links_lost) {
        return {};
    }
    std::chrono::milliseconds left{0};
    for (const auto& prompt : state.pending_prefills) {
        left += prompt.prefill;
    }
    // The engine has been working on the first of them in the meantime.
    const auto done = std::chrono::floor<std::chrono::milliseconds>(now - state.prefill_started_at);
    return left - std::min(done, state.pending_prefills.front().prefill);
}

std::chrono::milliseconds fleet_load::prefill_left(const upstream_state& state, time_point now) const
{
    auto left = own_prefill_left(state, now) + state.others.prefill_left;
    for (const auto& [at, prefill] : state.hops) {
        left += now - at <= hop_report_delay ? prefill : std::chrono::milliseconds{0};
    }
    return left;
}

std::chrono::milliseconds fleet_load::event_gap(const upstream_state& state,
                                                const placing_request& request) const
{
    const auto step = static_cast<double>(m_settings.prefill_chunk_tokens);
    constexpr double million = 1e6;
    const double step_ms =
        step / m_settings.prompt_tokens_per_ms + step * static_cast<double>(request.prompt_tokens) / million *
                                                     m_settings.attention_ms_per_million_pairs;
    return std::chrono::milliseconds(static_cast<std::int64_t>(step_ms * state.tokens_per_event));
}

std::chrono::milliseconds fleet_load::event_gap_during(const upstream_state& state,
                                                       std::chrono::duration<double, std::milli> prefill,
                                                       double work) const
{
    const std::chrono::duration<double, std::milli> chunk(
        static_cast<double>(m_settings.prefill_chunk_tokens) / m_settings.prompt_tokens_per_ms);
    const auto tokens = static_cast<double>(state.tokens_per_event);
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(prefill, chunk * tokens * work) +
                                                        m_settings.token_time * tokens * work);
}

token_count fleet_load::cached_tokens(const upstream_state& state, const placing_request& request,
                                      time_point now) const
{
    token_count cached = 0;
    for (std::size_t at = 0; at + 1 < request.parts.size(); ++at) {
        const auto found = state.cached_parts.find(request.parts[at].id);
        if (found == state.cached_parts.end() || now - found->second > cached_part_ttl) {
            break;
        }
        cached += request.parts[at].tokens;
    }
    return cached;
}

std::chrono::milliseconds fleet_load::prefill_time(const upstream_state& state,
                                                   const placing_request& request, time_point now) const
{
    const auto cached = cached_tokens(state, request, now);
    const auto uncached = static_cast<double>(std::max<token_count>(0, request.prompt_tokens - cached));
    const double pairs = uncached * (static_cast<double>(cached) + uncached / 2);
    constexpr double million = 1e6;
    const double predicted_ms = uncached / m_settings.prompt_tokens_per_ms +
                                pairs / million * m_settings.attention_ms_per_million_pairs;
    return milliseconds_within(predicted_ms).value_or(max_stated_duration);
}

} // namespace cardamomstream
