#include "cardamomstream/request/placing/placer.h"

#include "cardamomstream/core/endpoint_hash.h"
#include "cardamomstream/process/deployment/entry_weights.h"
#include "cardamomstream/request/placing/engine_room.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace cardamomstream {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// An upstream with running requests that sends no byte for this long gets no new requests. A busy engine
/// sends events several times a second.
constexpr std::chrono::milliseconds silence_limit{900};

/// While links count as lost, connections on which bytes have come within this time may be left.
constexpr std::chrono::milliseconds working_connection_ttl{1'000};

/// Additional weight of the request's own prefill time in the cost, since it also delays later requests.
constexpr double prefill_weight = 2;

/// Fraction of the shared prompt's prefill time that is taken off the cost of the upstream that the VMs of a
/// region prefer for it.
constexpr double affinity_weight = 1;

/// Cost for each running stream that a long prompt would delay beyond its event gap objective, and the
/// fraction of the objective from which a stream counts as delayed.
constexpr std::chrono::milliseconds delayed_stream_cost{40};
constexpr double gap_objective_fraction = 0.85;

/// Cost for each unit of failure rate above that of the best candidate. The difference is used because calls
/// that fail at every upstream are not the fault of one.
constexpr std::chrono::milliseconds failure_cost{1'500};
constexpr double failure_tolerance = 0.08;
constexpr std::uint64_t min_outcomes = 5; ///< fewer give no usable failure rate

/// An upstream with at least this many cached tokens of the prompt is always compared: they save some 20 ms
/// of prefill.
constexpr token_count min_cached_tokens = 1'024;

constexpr std::chrono::milliseconds min_retry_after{200};

/// Added in proportion to the fraction of refused requests; overloads typically last some seconds.
constexpr std::chrono::milliseconds overload_retry_after{4'000};
constexpr double refused_fraction_weight = 0.02; ///< per request; averages over a VM's last few seconds
constexpr std::chrono::milliseconds no_upstream_retry_after{800};

/// Until one of the engines that are full now is likely to have room again.
constexpr std::chrono::milliseconds room_wait{500};

/// Number of upstreams that are compared for one request: a multiple of upstreams / VMs of the region, and at
/// least the minimum.
constexpr std::size_t candidates_per_share = 3;
constexpr std::size_t min_candidates = 4;

/// A cold upstream's limit is divided by at least this number of VMs of a data centre: a VM that was killed
/// may have restarted without having reported yet.
constexpr std::size_t min_cold_sharers = 3;

/// A VM that has just started sends nothing to cold upstreams until it has received the reports of its data
/// centre's VMs, since all of them may have started at once.
constexpr std::chrono::milliseconds startup_delay{1'200};

/// A VM of the data centre that has reported within this time keeps its share of an upstream's limit.
constexpr std::chrono::seconds sharer_ttl{10};

/// Requests beyond its stated limit that an upstream bears at once.
constexpr double limit_burst = 5;

/// Requests per second to an upstream that states a lower limit, or zero: only an answer can end the limit.
constexpr double min_accepted_rate = 0.2;

/// Until another VM's share of a limit may have passed to this one.
constexpr std::chrono::milliseconds no_share_wait{1'000};

std::uint64_t shared_prompt_of(const std::vector<prompt_part>& parts)
{
    return parts.size() < 2 ? 0 : parts[parts.size() - 2].id;
}

std::uint64_t rendezvous_weight(std::uint64_t prompt, const upstream_name& upstream)
{
    return XXH3_64bits_withSeed(upstream.str().data(), upstream.str().size(), prompt);
}

token_count shared_tokens(const std::vector<prompt_part>& parts)
{
    token_count total = 0;
    for (std::size_t at = 0; at + 1 < parts.size(); ++at) {
        total += parts[at].tokens;
    }
    return total;
}

} // namespace

struct placer::candidate {
    const fleet_load::upstream_state* state = nullptr;
    bool here = true; ///< in this VM's region
    bool suspected = false;
    bool has_cached_prefix = false; ///< a large shared part of the prompt is in the engine's cache
    milliseconds_f prefill{0};      ///< of the request's prompt
    milliseconds_f first_byte{0};
    milliseconds_f cost{0};
};

placer::placer(region_name region, data_centre_name data_centre, placing_settings settings,
               std::uint64_t seed, time_point started_at, const endpoint& self)
    : m_region(std::move(region))
    , m_data_centre(std::move(data_centre))
    , m_settings(settings)
    , m_random(seed)
    , m_started_at(started_at)
    , m_self_hash(shared_hash(self))
{
}

void placer::set_vms(const known_vms& vms)
{
    std::unordered_map<region_name, std::vector<weighted_entry>> linked;
    m_fleet_size = count_vms(vms) + 1;
    visit_vms(vms, [&](const vm_report& report, const vm_member& vm, time_point received_at) {
        if (report.region == m_region) {
            auto& known = m_neighbours[vm.inner];
            known.hash = known.hash == 0 ? shared_hash(vm.inner) : known.hash;
            known.received_at = received_at;
            known.same_data_centre = report.data_centre == m_data_centre;
        }
        if (vm.ready && !vm.links_lost) {
            linked[report.region].push_back({vm.inner, vm.capacity});
        }
    });
    m_remote_vms.clear();
    for (const auto& [region, vms_there] : linked) {
        m_remote_vms[region] = weigh_entries(vms_there, std::numeric_limits<std::size_t>::max());
    }
    m_region_vms = std::move(m_remote_vms[m_region]);
    m_remote_vms.erase(m_region);
}

std::chrono::milliseconds placer::predict(const placing_request& request, const fleet_load& load,
                                          const fleet_load::upstream_state& state, time_point now) const
{
    return std::chrono::ceil<std::chrono::milliseconds>(score(request, load, state, now).first_byte);
}

placer::candidate placer::score(const placing_request& request, const fleet_load& load,
                                const fleet_load::upstream_state& state, time_point now) const
{
    candidate option;
    option.state = &state;
    option.here = state.view.region == m_region;
    // Through another VM, this VM's own links don't matter.
    const bool through_vm = option.here && load.links_lost() && !m_region_vms.empty();
    option.suspected =
        !through_vm && (state.suspected_until > now || load.is_silent(state, now, silence_limit));
    const auto running = load.running(state, now);
    const bool engine = state.engine_batch > 0;
    const double slots = std::max(1U, engine ? state.engine_batch : state.view.record.slots);
    const milliseconds_f run_time = engine ? load.run_time(request.service) : m_settings.plain_run_time;
    const double excess_requests = std::max(0.0, running + 1 - slots);
    option.first_byte = engine ? milliseconds_f(m_settings.first_event_base) : run_time;
    option.first_byte += excess_requests / slots * run_time;
    if (engine) {
        const double work = load.work_factor(state, now);
        const milliseconds_f prefill = load.prefill_time(state, request, now) * work;
        const milliseconds_f queue = load.prefill_left(state, now) * work;
        const auto memory =
            static_cast<double>(load.memory(state) + request.prompt_tokens + request.answer_tokens);
        const double usable_memory =
            std::max(1.0, static_cast<double>(state.memory_tokens) * m_settings.usable_memory_fraction);
        option.first_byte += (prefill + queue) * load.prediction_scale();
        option.first_byte +=
            std::max(0.0, memory / usable_memory - 1) * milliseconds_f(m_settings.mean_run_time);
        option.prefill = prefill * load.prediction_scale();
        option.has_cached_prefix = load.cached_tokens(state, request, now) >= min_cached_tokens;
        option.cost = prefill * prefill_weight;
        const auto gap_objective = request.route->event_gap_objective;
        const auto gap = load.states_work(request.service)
                             ? load.event_gap_during(state, prefill + queue, work)
                             : load.event_gap(state, request);
        if (gap_objective > std::chrono::milliseconds::zero() &&
            gap > gap_objective * gap_objective_fraction) {
            option.cost += static_cast<double>(running) * milliseconds_f(delayed_stream_cost);
        }
    }
    option.first_byte += load.lateness(request, state.view.region, now);
    if (!option.here) {
        option.first_byte += m_settings.region_round_trip;
    }
    else if (through_vm) {
        option.first_byte += m_settings.vm_round_trip;
    }
    else if (state.view.record.data_centre != m_data_centre) {
        option.cost += m_settings.data_centre_cost;
    }
    option.cost += option.first_byte;
    return option;
}

bool placer::allows_cold_request(const fleet_load& load, const fleet_load::upstream_state& state,
                                 const plan_service& service, time_point now) const
{
    if (service.cold_requests_per_second <= 0 || !load.may_be_cold(state, service.cold_time, now)) {
        return true;
    }
    if (now - m_started_at < startup_delay) {
        return false;
    }
    const double bound = service.cold_requests_per_second * m_settings.cold_factor + m_settings.cold_slack;
    const auto recent =
        std::count_if(state.recent_sends.begin(), state.recent_sends.end(),
                      [&](time_point at) { return now - at < std::chrono::milliseconds{1'100}; });
    return static_cast<std::size_t>(recent) < cold_request_limit(state.view.record.id, bound, now);
}

placer::sharing placer::sharing_of(const upstream_name& upstream, time_point now) const
{
    const auto weight = [&](std::uint64_t vm) { return rendezvous_weight(vm, upstream); };
    const auto own = weight(m_self_hash);
    sharing known;
    for (const auto& [address, vm] : m_neighbours) {
        if (vm.same_data_centre && now - vm.received_at < sharer_ttl) {
            known.vms += 1;
            known.rank += weight(vm.hash) > own ? 1 : 0;
        }
    }
    return known;
}

std::size_t placer::cold_request_limit(const upstream_name& upstream, double bound, time_point now) const
{
    // Each data centre of the region has a fixed share, whether or not it receives reports from the others.
    const double data_centre_limit = bound / static_cast<double>(m_settings.data_centres_of_region);
    const auto sharers = sharing_of(upstream, now);
    const auto share =
        std::floor(data_centre_limit / static_cast<double>(std::max(sharers.vms, min_cold_sharers)));
    if (share >= 1) {
        return static_cast<std::size_t>(share);
    }
    // More VMs than requests: the VMs that rank first get one request each.
    return static_cast<double>(sharers.rank + 1) <= data_centre_limit ? 1 : 0;
}

double placer::share_of_limit(const upstream_view& upstream, double limit, time_point now) const
{
    const double accepted = std::max(limit, min_accepted_rate);
    if (upstream.region != m_region) {
        return accepted / static_cast<double>(m_fleet_size);
    }
    if (now - m_started_at < startup_delay) {
        return 0;
    }
    // As with a cold upstream, each data centre has a fixed share. Each VM that sends may send one request
    // at once, so few VMs send when the limit is low.
    const auto data_centres = static_cast<double>(m_settings.data_centres_of_region);
    const auto sharers = sharing_of(upstream.record.id, now);
    const auto senders = std::clamp(std::floor((accepted + limit_burst) / data_centres), 1.0,
                                    static_cast<double>(sharers.vms));
    return static_cast<double>(sharers.rank) < senders ? accepted / data_centres / senders : 0;
}

std::chrono::milliseconds placer::limit_wait(const fleet_load& load, const fleet_load::upstream_state& state,
                                             time_point now) const
{
    const auto& upstream = state.view.record.id;
    const auto limit = load.statements().limit(upstream);
    if (!limit) {
        return {};
    }
    const auto share = share_of_limit(state.view, *limit, now);
    return share > 0 ? load.statements().time_until_send(upstream, share, now) : no_share_wait;
}

endpoint placer::random_vm_in(const region_name& region)
{
    return random_of(m_remote_vms[region]);
}

endpoint placer::random_of(const std::vector<endpoint>& vms)
{
    std::uniform_int_distribution<std::size_t> pick(0, vms.size() - 1);
    return vms[pick(m_random)];
}

std::vector<endpoint> placer::next_vms(const placing_request& request, const fleet_load& load) const
{
    std::vector<endpoint> vms;
    const bool passed_on = request.own_region_only;
    if (passed_on || !load.links_lost()) {
        return vms;
    }
    std::copy_if(m_region_vms.begin(), m_region_vms.end(), std::back_inserter(vms), [&](const endpoint& vm) {
        return std::find(request.tried_vms.begin(), request.tried_vms.end(), vm) == request.tried_vms.end();
    });
    return vms;
}

placement placer::refuse(const placing_request& request, placing_verdict verdict,
                         std::chrono::milliseconds predicted)
{
    placement refused;
    refused.verdict = verdict;
    refused.predicted = predicted;
    // The time after which the objective could be met again. It is longer while many requests are refused,
    // since early retries are refused again and displace new requests. It is randomised so that callers do
    // not retry at the same time.
    auto wait = no_upstream_retry_after;
    // Before the time that an upstream has stated, callers would be refused again.
    const bool stated = verdict == placing_verdict::limited || verdict == placing_verdict::paused;
    if (verdict == placing_verdict::overloaded || stated) {
        const auto until_served = stated ? predicted : predicted - request.route->latency_objective / 2;
        wait =
            std::max(until_served, min_retry_after) +
            std::chrono::duration_cast<std::chrono::milliseconds>(m_refused_fraction * overload_retry_after);
    }
    std::uniform_real_distribution<double> spread(stated ? 1 : 0.75, 1.5);
    refused.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(wait * spread(m_random));
    return refused;
}

void placer::count_refusal(bool refused)
{
    m_refused_fraction += refused_fraction_weight * ((refused ? 1.0 : 0.0) - m_refused_fraction);
}

void placer::add_failure_costs(std::vector<candidate>& candidates)
{
    double lowest_failure_rate = 1;
    for (const auto& option : candidates) {
        if (option.state->outcomes >= min_outcomes) {
            lowest_failure_rate = std::min(lowest_failure_rate, option.state->failure_rate);
        }
    }
    for (auto& option : candidates) {
        option.cost += std::max(0.0, option.state->failure_rate - lowest_failure_rate - failure_tolerance) *
                       milliseconds_f(failure_cost);
    }
}

void placer::sample_candidates(std::vector<candidate>& candidates, const upstream_name* preferred)
{
    // The VMs of a region see the same loads, partly with a delay. If all chose the best upstream, it would
    // get the requests of all VMs until the next reports.
    const auto vms = m_neighbours.size() + 1;
    const auto kept = std::max<std::size_t>(min_candidates, candidates_per_share * candidates.size() / vms);
    if (kept >= candidates.size()) {
        return;
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    std::erase_if(candidates, [&, number = std::size_t{0}](const candidate& option) mutable {
        const bool is_preferred = preferred != nullptr && option.state->view.record.id == *preferred;
        return ++number > kept && !is_preferred && !option.has_cached_prefix;
    });
}

std::chrono::milliseconds placer::room_delay(const placing_request& request, const fleet_load& load,
                                             const fleet_load::upstream_state& state, time_point now)
{
    if (state.full_until > now) {
        return std::chrono::ceil<std::chrono::milliseconds>(state.full_until - now);
    }
    const bool begun = request.sent_before || request.version;
    if (state.engine_batch == 0 || begun) {
        return {};
    }
    const engine_occupancy occupancy{static_cast<double>(state.engine_batch),
                                     static_cast<double>(load.running(state, now)), state.memory_tokens,
                                     load.memory(state)};
    const room_demand demand{request.urgency, request.prompt_tokens + request.answer_tokens};
    return has_room(occupancy, demand) ? std::chrono::milliseconds::zero() : room_wait;
}

std::vector<placer::candidate> placer::candidates_for(const placing_request& request,
                                                      const service_plan& plan, const fleet_load& load,
                                                      time_point now, exclusion& excluded) const
{
    const auto* service = plan.find_service(request.service);
    std::vector<candidate> candidates;
    const bool through_vms = !next_vms(request, load).empty();
    excluded = {};
    const auto exclude = [&](placing_verdict verdict, std::chrono::milliseconds wait = {}) {
        excluded.verdict = std::max(excluded.verdict, verdict);
        if (wait > std::chrono::milliseconds::zero()) {
            excluded.wait =
                excluded.wait > std::chrono::milliseconds::zero() ? std::min(excluded.wait, wait) : wait;
        }
    };
    for (const auto& [id, state] : load.all()) {
        const auto& view = state.view;
        const bool here = view.region == m_region;
        if (view.record.service != request.service || (!here && request.own_region_only) ||
            !request.may_run_in(view.region) ||
            std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end() ||
            std::find(request.refused_by.begin(), request.refused_by.end(), view.region) !=
                request.refused_by.end()) {
            continue;
        }
        // The other VM knows whether the version is certain.
        if (request.version && (through_vms && here ? std::optional(view.record.version)
                                                    : load.version_of(state, now)) != request.version) {
            continue;
        }
        if (load.statements().is_leaving(id)) {
            continue;
        }
        if (through_vms && here) {
            candidates.push_back(score(request, load, state, now));
            continue;
        }
        if (here && load.links_lost() && !load.has_answered_since(now - working_connection_ttl)) {
            exclude(placing_verdict::unreachable);
            continue;
        }
        if (!here && (!m_remote_vms.contains(view.region) || view.cold_until > now)) {
            continue;
        }
        if (const auto wait = limit_wait(load, state, now); wait > std::chrono::milliseconds::zero()) {
            exclude(placing_verdict::limited, wait);
            continue;
        }
        const auto pause = here ? load.statements().pause_left(id, now) : std::chrono::milliseconds::zero();
        if (pause > std::chrono::milliseconds::zero()) {
            exclude(placing_verdict::paused, pause);
            continue;
        }
        if (here && state.next_attempt_at > now) {
            exclude(placing_verdict::unreachable);
            continue;
        }
        if (const auto delay = room_delay(request, load, state, now);
            delay > std::chrono::milliseconds::zero()) {
            exclude(placing_verdict::overloaded, delay);
            continue;
        }
        if (here && service != nullptr && !allows_cold_request(load, state, *service, now)) {
            exclude(placing_verdict::cold);
            continue;
        }
        candidates.push_back(score(request, load, state, now));
    }
    return candidates;
}

const upstream_name* placer::apply_prefix_affinity(const placing_request& request,
                                                   std::vector<candidate>& candidates) const
{
    const auto prompt = shared_prompt_of(request.parts);
    if (prompt == 0) {
        return nullptr;
    }
    const auto preferred = std::max_element(
        candidates.begin(), candidates.end(), [&](const candidate& option, const candidate& other) {
            return std::pair(option.here, rendezvous_weight(prompt, option.state->view.record.id)) <
                   std::pair(other.here, rendezvous_weight(prompt, other.state->view.record.id));
        });
    preferred->cost -= milliseconds_f(static_cast<double>(shared_tokens(request.parts)) /
                                      m_settings.prompt_tokens_per_ms * affinity_weight);
    return &preferred->state->view.record.id;
}

bool placer::has_alternative(const placing_request& request, const service_plan& plan, const fleet_load& load,
                             time_point now) const
{
    exclusion excluded;
    const auto candidates = candidates_for(request, plan, load, now, excluded);
    return std::any_of(candidates.begin(), candidates.end(), [&](const candidate& option) {
        return !option.suspected && option.first_byte < request.time_left;
    });
}

placement placer::place(const placing_request& request, const service_plan& plan, const fleet_load& load,
                        time_point now)
{
    exclusion excluded;
    auto candidates = candidates_for(request, plan, load, now, excluded);
    if (candidates.empty()) {
        if (excluded.verdict >= placing_verdict::overloaded && excluded.verdict != placing_verdict::cold) {
            count_refusal(true);
        }
        return refuse(request, excluded.verdict, excluded.wait);
    }
    // If every upstream of a pool is suspected, this VM's view is more likely at fault: none is excluded.
    const bool all_suspected = std::all_of(candidates.begin(), candidates.end(),
                                           [](const candidate& option) { return option.suspected; });
    if (!all_suspected) {
        std::erase_if(candidates, [](const candidate& option) { return option.suspected; });
    }
    add_failure_costs(candidates);
    sample_candidates(candidates, apply_prefix_affinity(request, candidates));
    const auto best = std::min_element(
        candidates.begin(), candidates.end(),
        [](const candidate& option, const candidate& other) { return option.cost < other.cost; });
    const auto predicted = std::chrono::ceil<std::chrono::milliseconds>(best->first_byte);
    const milliseconds_f objective = request.route->latency_objective;
    const auto remaining_objective = objective * m_settings.max_objective_fraction - request.waited;
    const auto limit = std::min<milliseconds_f>(
        request.time_left,
        std::max<milliseconds_f>(remaining_objective, best->prefill * 1.1 +
                                                          objective * m_settings.max_wait_fraction +
                                                          m_settings.region_round_trip));
    const bool too_late = best->first_byte > limit && !request.sent_before;
    count_refusal(too_late);
    if (too_late) {
        return refuse(request, placing_verdict::overloaded, predicted);
    }
    placement chosen;
    const auto other_vms = next_vms(request, load);
    const bool through_vm = best->here && !other_vms.empty();
    chosen.verdict = through_vm   ? placing_verdict::other_vm
                     : best->here ? placing_verdict::here
                                  : placing_verdict::other_region;
    chosen.upstream = best->state->view.record.id;
    chosen.region = best->state->view.region;
    chosen.version = load.version_of(*best->state, now);
    chosen.started_unix_ms = best->state->view.record.started_unix_ms;
    chosen.address = through_vm   ? random_of(other_vms)
                     : best->here ? best->state->view.record.address
                                  : random_vm_in(chosen.region);
    chosen.predicted = predicted;
    chosen.running = load.running(*best->state, now);
    return chosen;
}

} // namespace cardamomstream
