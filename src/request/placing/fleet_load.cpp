#include "cardamomstream/request/placing/fleet_load.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

/// A hop shows in the other region's reports after two ways between regions and a report interval.
constexpr std::chrono::milliseconds hop_memory{450};

/// Cached prompt parts that were not used for longer may have yielded to others.
constexpr std::chrono::seconds cached_part_memory{30};
constexpr std::size_t max_cached_parts = 4'096;

constexpr std::chrono::seconds cold_send_memory{2}; ///< the bound holds for each second

constexpr double failure_weight = 0.04;                         ///< of one send in the moving average
constexpr double scale_weight = 0.05;                           ///< of one first event in the moving average
constexpr std::chrono::milliseconds least_telling_reading{100}; ///< shorter ones drown in the batch step
constexpr double min_scale = 0.5;
constexpr double max_scale = 3;

/// Time in which an upstream that rejected a request for lack of room is left out: some requests end within
/// it.
constexpr std::chrono::milliseconds full_time{150};

/// Reading time sent since the last report that makes another one due.
constexpr std::chrono::milliseconds report_due{60};

constexpr std::chrono::milliseconds first_suspicion{300};
constexpr std::chrono::milliseconds longest_suspicion{3'000};
constexpr std::uint32_t failures_until_suspected = 3; ///< broken answers in a row; one when unreachable

/// Connections that fail without an answer in between until an upstream is only tried now and then, and the
/// time between two trials, longer than a connection may take.
constexpr std::uint32_t unreached_until_paced = 3;
constexpr std::chrono::milliseconds trial_interval{400};

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
    for (const auto& view : deployment.upstreams) {
        auto& state = kept[view.record.id];
        const auto known = m_upstreams.find(view.record.id);
        if (known != m_upstreams.end() &&
            known->second.view.record.started_unix_ms == view.record.started_unix_ms) {
            state = std::move(known->second);
        }
        state.view = view;
        const auto* service = deployment.plan ? deployment.plan->find_service(view.record.service) : nullptr;
        if (service != nullptr && service->engine) {
            state.engine_batch = service->engine->batch;
            state.memory_tokens = service->engine->memory_tokens;
            state.tokens_per_event = service->engine->tokens_per_event;
        }
    }
    m_upstreams = std::move(kept);
    // Reports may tell of upstreams that were not known when they came.
    for (auto& [id, state] : m_upstreams) {
        state.others = {};
    }
    for (const auto& [name, vm] : m_counted) {
        count_loads(*vm);
    }
}

void fleet_load::set_reports(const known_vms& vms)
{
    std::unordered_map<vm_name, std::shared_ptr<const known_vm>> counted;
    for (const auto& vm : vms) {
        auto node = m_counted.extract(vm->report.vm);
        if (node && node.mapped() == vm) {
            counted.insert(std::move(node));
            continue;
        }
        if (node) {
            discount_loads(*node.mapped());
        }
        count_loads(*vm);
        counted.emplace(vm->report.vm, vm);
    }
    for (const auto& [name, vm] : m_counted) {
        discount_loads(*vm);
    }
    m_counted = std::move(counted);
}

void fleet_load::count_loads(const known_vm& vm)
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
            found->second.cached_parts[part] = vm.heard_at;
        }
    }
}

void fleet_load::discount_loads(const known_vm& vm)
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

void fleet_load::learn_lateness(const known_vm& vm)
{
    m_lateness.learn(vm.report.region, vm.report.lateness, vm.heard_at);
}

std::vector<lateness_sample> fleet_load::take_lateness()
{
    return m_lateness.take();
}

std::chrono::milliseconds fleet_load::lateness(const placing_request& request, const region_name& region,
                                               time_point now) const
{
    return m_lateness.expected({request.service, region, request.urgency}, now);
}

void fleet_load::sample_lateness(const sent_request& sent, time_point now)
{
    m_lateness.sample(sent.kind, now - sent.sent_at - sent.modelled, now);
}

sent_request fleet_load::begin(const upstream_name& upstream, const placing_request& request,
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
    sent.kind = {request.service, state.view.region, request.urgency};
    sent.modelled =
        std::max(predicted - lateness(request, state.view.region, now), std::chrono::milliseconds{0});
    sent.reading = reading_time(state, request, now);
    sent.memory = request.prompt_tokens + request.answer_tokens;
    if (state.own.running == 0) {
        state.heard_at = now; // nothing was owed until now
    }
    state.own.running += 1;
    if (state.unreached_in_row >= unreached_until_paced) {
        state.next_trial = now + trial_interval;
    }
    if (state.unread.empty()) {
        state.reading_since = now;
    }
    state.unread.push_back({sent.number, sent.reading});
    m_unreported += sent.reading;
    state.own.memory_tokens += sent.memory;
    if (state.view.cold_until > now) {
        while (!state.cold_sends.empty() && now - state.cold_sends.front() > cold_send_memory) {
            state.cold_sends.pop_front();
        }
        state.cold_sends.push_back(now);
    }
    if (state.cached_parts.size() > max_cached_parts) {
        std::erase_if(state.cached_parts,
                      [&](const auto& part) { return now - part.second > cached_part_memory / 2; });
    }
    for (std::size_t at = 0; at + 1 < request.parts.size(); ++at) {
        state.cached_parts[request.parts[at].id] = now;
        state.own.new_parts.push_back(request.parts[at].id);
    }
    return sent;
}

void fleet_load::first_event(sent_request& sent, time_point now)
{
    if (std::exchange(sent.first_event_seen, true)) {
        return;
    }
    const auto found = m_upstreams.find(sent.upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    forget_prompt(found->second, sent.number, now);
    sample_lateness(sent, now);
    if (found->second.engine_batch > 0 && sent.reading >= least_telling_reading) {
        const double ratio = std::chrono::duration<double, std::milli>(now - sent.sent_at).count() /
                             static_cast<double>(sent.predicted.count());
        m_scale =
            std::clamp(m_scale * (1 + scale_weight * (std::min(ratio, max_scale) - 1)), min_scale, max_scale);
    }
}

void fleet_load::end(sent_request& sent, send_outcome outcome, time_point now)
{
    const auto found = m_upstreams.find(sent.upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    auto& state = found->second;
    state.own.running -= std::min(state.own.running, 1U);
    state.own.memory_tokens = std::max<token_count>(0, state.own.memory_tokens - sent.memory);
    if (!sent.first_event_seen) {
        forget_prompt(state, sent.number, now);
    }
    if (outcome == send_outcome::abandoned) {
        return;
    }
    if (outcome == send_outcome::unreachable && ++state.unreached_in_row >= unreached_until_paced) {
        state.next_trial = now + trial_interval;
    }
    if (outcome == send_outcome::rejected) {
        state.full_until = now + full_time;
    }
    const bool answered = outcome == send_outcome::answered || outcome == send_outcome::failed;
    if (!sent.first_event_seen && (answered || outcome == send_outcome::silent)) {
        sample_lateness(sent, now);
    }
    const bool failure = outcome != send_outcome::answered && outcome != send_outcome::rejected;
    state.outcomes += 1;
    state.failure_rate += failure_weight * ((failure ? 1.0 : 0.0) - state.failure_rate);
    if (failure && outcome != send_outcome::failed) {
        note_failure(state, now, outcome != send_outcome::broken);
        return;
    }
    state.failures_in_row = 0;
    note_sign_of_life(state, now);
}

void fleet_load::note_sign_of_life(upstream_state& state, time_point now)
{
    state.heard_at = now;
    state.unreached_in_row = 0;
    state.next_trial = {};
}

void fleet_load::note_failure(upstream_state& state, time_point now, bool unreachable)
{
    state.failures_in_row += 1;
    if (!unreachable && state.failures_in_row < failures_until_suspected) {
        return;
    }
    const auto doublings = std::min(state.failures_in_row - 1, 4U);
    state.suspected_until = now + std::min(first_suspicion * (1U << doublings), longest_suspicion);
    state.cached_parts.clear(); // a restarted engine has none of them
}

void fleet_load::passed_on(const upstream_name& upstream, const placing_request& request, time_point now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end()) {
        return;
    }
    auto& state = found->second;
    state.hops.emplace_back(now, reading_time(state, request, now));
    for (std::size_t at = 0; at + 1 < request.parts.size(); ++at) {
        state.cached_parts[request.parts[at].id] = now;
    }
    while (!state.hops.empty() && now - state.hops.front().first > hop_memory) {
        state.hops.pop_front();
    }
}

void fleet_load::heard(const upstream_name& upstream, time_point now)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end()) {
        note_sign_of_life(found->second, now);
    }
}

bool fleet_load::is_silent(const upstream_state& state, time_point now, std::chrono::milliseconds limit) const
{
    return state.own.running > 0 && now - state.heard_at > limit;
}

const fleet_load::upstream_state* fleet_load::find(const upstream_name& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

void fleet_load::forget_prompt(upstream_state& state, std::uint64_t number, time_point now)
{
    std::erase_if(state.unread, [&](const unread_prompt& one) { return one.number == number; });
    state.reading_since = now;
}

bool fleet_load::take_report_due()
{
    if (m_unreported < report_due) {
        return false;
    }
    m_unreported = {};
    return true;
}

std::vector<upstream_load> fleet_load::take_loads(time_point now)
{
    std::vector<upstream_load> loads;
    for (auto& [id, state] : m_upstreams) {
        if (state.own.running > 0 || !state.own.new_parts.empty()) {
            loads.push_back(state.own);
            loads.back().upstream = id;
            loads.back().prefill_left = own_reading_left(state, now);
            state.own.new_parts.clear();
        }
    }
    return loads;
}

std::uint32_t fleet_load::running(const upstream_state& state, time_point now) const
{
    std::uint32_t hops = 0;
    for (const auto& [at, reading] : state.hops) {
        hops += now - at <= hop_memory ? 1U : 0U;
    }
    return state.own.running + state.others.running + hops;
}

std::chrono::milliseconds fleet_load::own_reading_left(const upstream_state& state, time_point now) const
{
    if (state.unread.empty()) {
        return {};
    }
    std::chrono::milliseconds left{0};
    for (const auto& prompt : state.unread) {
        left += prompt.reading;
    }
    // The engine has worked on the first of them meanwhile.
    const auto done = std::chrono::floor<std::chrono::milliseconds>(now - state.reading_since);
    return left - std::min(done, state.unread.front().reading);
}

std::chrono::milliseconds fleet_load::reading_left(const upstream_state& state, time_point now) const
{
    auto left = own_reading_left(state, now) + state.others.prefill_left;
    for (const auto& [at, reading] : state.hops) {
        left += now - at <= hop_memory ? reading : std::chrono::milliseconds{0};
    }
    return left;
}

std::chrono::milliseconds fleet_load::event_gap(const upstream_state& state,
                                                const placing_request& request) const
{
    const auto step = static_cast<double>(m_settings.tokens_per_step);
    constexpr double million = 1e6;
    const double step_ms =
        step / m_settings.prompt_tokens_per_ms +
        step * static_cast<double>(request.prompt_tokens) / million * m_settings.ms_per_million_pairs;
    return std::chrono::milliseconds(static_cast<std::int64_t>(step_ms * state.tokens_per_event));
}

token_count fleet_load::cached_tokens(const upstream_state& state, const placing_request& request,
                                      time_point now) const
{
    token_count cached = 0;
    for (std::size_t at = 0; at + 1 < request.parts.size(); ++at) {
        const auto found = state.cached_parts.find(request.parts[at].id);
        if (found == state.cached_parts.end() || now - found->second > cached_part_memory) {
            break;
        }
        cached += request.parts[at].tokens;
    }
    return cached;
}

std::chrono::milliseconds fleet_load::reading_time(const upstream_state& state,
                                                   const placing_request& request, time_point now) const
{
    const auto cached = cached_tokens(state, request, now);
    const auto unread = static_cast<double>(std::max<token_count>(0, request.prompt_tokens - cached));
    const double pairs = unread * (static_cast<double>(cached) + unread / 2);
    constexpr double million = 1e6;
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        unread / m_settings.prompt_tokens_per_ms + pairs / million * m_settings.ms_per_million_pairs));
}

} // namespace cardamomstream
