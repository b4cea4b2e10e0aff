#include "cardamomstream/request/placing/placer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace cardamomstream {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// An upstream that owes answers and sends no byte for this long gets no new requests. Events of a busy
/// engine come several times a second.
constexpr std::chrono::milliseconds silence_limit{900};

/// An own prompt's reading time counts so often again: it also delays the requests after it.
constexpr double reading_weight = 2;

/// Part of the shared prompt's reading time by which the VMs of a region prefer the same upstream for it.
constexpr double agreement_bonus = 1;

/// Cost of each running stream that a long prompt would hold up beyond its objective, and the part of the
/// objective at which it counts as held up.
constexpr std::chrono::milliseconds disturbed_stream_cost{40};
constexpr double gap_part = 0.85;

/// Cost of an upstream that fails more of its requests than the best of its pool, at a difference of 1. Calls
/// that fail everywhere say nothing of the upstream.
constexpr std::chrono::milliseconds failure_cost{1'500};
constexpr double failure_tolerance = 0.08;
constexpr std::uint64_t telling_outcomes = 5; ///< fewer say nothing of an upstream

/// Cached tokens of a prompt that make an upstream worth comparing: they save some 20 ms of reading.
constexpr token_count telling_cached_tokens = 1'024;

constexpr std::chrono::milliseconds min_retry_after{200};

/// Added while all are refused; overloads of some seconds are usual.
constexpr std::chrono::milliseconds overload_retry_after{4'000};
constexpr double refused_part_weight = 0.02; ///< of one request: the last few seconds of one VM
constexpr std::chrono::milliseconds no_upstream_retry_after{800};

/// Upstreams that are compared for one request: this many for each one that the VM would have for itself if
/// those of a region were divided between its VMs, and the least number.
constexpr std::size_t compared_for_share = 3;
constexpr std::size_t least_compared = 4;

/// VMs of a data centre that share a cold upstream's bound at least: one that was killed may be back and not
/// heard of.
constexpr std::size_t min_vms_for_cold = 3;

/// A VM that has just started leaves cold upstreams alone until it has heard of its data centre's VMs: all of
/// them may have started at once.
constexpr std::chrono::milliseconds settling_time{1'200};

/// A VM of the data centre that has reported within this time still has its part of a cold upstream's bound.
constexpr std::chrono::seconds cold_sharer_memory{10};

std::uint64_t shared_prompt_of(const std::vector<prompt_part>& parts)
{
    return parts.size() < 2 ? 0 : parts[parts.size() - 2].id;
}

std::uint64_t hash_of(const endpoint& address)
{
    return XXH3_64bits_withSeed(address.address.data(), address.address.size(), address.port);
}

std::uint64_t preference(std::uint64_t prompt, const upstream_name& upstream)
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
    bool here = true;
    bool suspected = false;
    bool knows_prompt = false; ///< it has read a large shared part of the prompt
    milliseconds_f reading{0}; ///< of the request's own prompt
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
    , m_self(hash_of(self))
{
}

void placer::set_vms(const known_vms& vms)
{
    m_vms.clear();
    visit_vms(vms, [&](const vm_report& report, const vm_member& vm, time_point heard_at) {
        if (report.region == m_region) {
            auto& known = m_neighbours[vm.inner];
            known.hash = known.hash == 0 ? hash_of(vm.inner) : known.hash;
            known.heard_at = heard_at;
            known.near = report.data_centre == m_data_centre;
        }
        else if (vm.ready) {
            m_vms[report.region].push_back(vm.inner);
        }
    });
}

std::chrono::milliseconds placer::predict(const placing_request& request, const fleet_load& load,
                                          const fleet_load::upstream_state& state, time_point now) const
{
    return std::chrono::ceil<std::chrono::milliseconds>(rate(request, load, state, now).first_byte);
}

placer::candidate placer::rate(const placing_request& request, const fleet_load& load,
                               const fleet_load::upstream_state& state, time_point now) const
{
    candidate one;
    one.state = &state;
    one.here = state.view.region == m_region;
    one.suspected = state.suspected_until > now || load.is_silent(state, now, silence_limit);
    const auto running = load.running(state, now);
    const bool engine = state.engine_batch > 0;
    const double slots = std::max(1U, engine ? state.engine_batch : state.view.record.slots);
    const milliseconds_f run_time = engine ? m_settings.mean_run_time : m_settings.plain_run_time;
    const double over = std::max(0.0, running + 1 - slots);
    one.first_byte = engine ? milliseconds_f(m_settings.first_event_base) : run_time;
    one.first_byte += over / slots * run_time;
    if (engine) {
        const milliseconds_f reading(load.reading_time(state, request, now));
        const milliseconds_f queue(load.reading_left(state, now));
        const auto memory = static_cast<double>(state.own.memory_tokens + state.others.memory_tokens +
                                                request.prompt_tokens + request.answer_tokens);
        const double room = std::max(1.0, static_cast<double>(state.memory_tokens) * m_settings.memory_use);
        one.first_byte += (reading + queue) * load.prediction_scale();
        one.first_byte += std::max(0.0, memory / room - 1) * milliseconds_f(m_settings.mean_run_time);
        one.reading = reading * load.prediction_scale();
        one.knows_prompt = load.cached_tokens(state, request, now) >= telling_cached_tokens;
        one.cost = reading * reading_weight;
        const auto gap_objective = request.route->event_gap_objective;
        if (gap_objective > std::chrono::milliseconds::zero() &&
            load.event_gap(state, request) > gap_objective * gap_part) {
            one.cost += static_cast<double>(running) * milliseconds_f(disturbed_stream_cost);
        }
    }
    one.first_byte += load.lateness(request, state.view.region, now);
    if (!one.here) {
        one.first_byte += m_settings.region_round_trip;
    }
    else if (state.view.record.data_centre != m_data_centre) {
        one.cost += m_settings.data_centre_cost;
    }
    one.cost += one.first_byte;
    return one;
}

bool placer::cold_room(const fleet_load::upstream_state& state, const plan_service& service,
                       time_point now) const
{
    if (state.view.cold_until <= now || service.cold_requests_per_second <= 0) {
        return true;
    }
    if (now - m_started_at < settling_time) {
        return false;
    }
    const double bound = service.cold_requests_per_second * m_settings.cold_factor + m_settings.cold_slack;
    const auto recent = std::count_if(state.cold_sends.begin(), state.cold_sends.end(), [&](time_point at) {
        return now - at < std::chrono::milliseconds{1'100};
    });
    return static_cast<std::size_t>(recent) < cold_share(state.view.record.id, bound, now);
}

std::size_t placer::cold_share(const upstream_name& upstream, double bound, time_point now) const
{
    // Each data centre of the region has its part, whether or not it hears of the others.
    const double part = bound / static_cast<double>(m_settings.data_centres_of_region);
    const auto weight = [&](std::uint64_t vm) { return preference(vm, upstream); };
    const auto own = weight(m_self);
    std::size_t sharers = 1;
    std::size_t before = 0; // VMs that come before this one by rendezvous
    for (const auto& [address, vm] : m_neighbours) {
        if (vm.near && now - vm.heard_at < cold_sharer_memory) {
            sharers += 1;
            before += weight(vm.hash) > own ? 1 : 0;
        }
    }
    const auto share = std::floor(part / static_cast<double>(std::max(sharers, min_vms_for_cold)));
    if (share >= 1) {
        return static_cast<std::size_t>(share);
    }
    // Too many VMs for a request each: as many as the part allows have one.
    return static_cast<double>(before + 1) <= part ? 1 : 0;
}

endpoint placer::vm_of(const region_name& region)
{
    const auto& vms = m_vms[region];
    std::uniform_int_distribution<std::size_t> pick(0, vms.size() - 1);
    return vms[pick(m_random)];
}

placement placer::refuse(const placing_request& request, placing_verdict verdict,
                         std::chrono::milliseconds predicted)
{
    placement refused;
    refused.verdict = verdict;
    refused.predicted = predicted;
    // The time after which the objective could be met again, longer while many are refused: those who come
    // back at once are refused again and keep out new requests. Spread so that callers do not return
    // together.
    auto wait = no_upstream_retry_after;
    if (verdict == placing_verdict::overloaded) {
        wait = std::max(predicted - request.route->latency_objective / 2, min_retry_after) +
               std::chrono::duration_cast<std::chrono::milliseconds>(m_refused_part * overload_retry_after);
    }
    std::uniform_real_distribution<double> spread(0.75, 1.5);
    refused.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(wait * spread(m_random));
    return refused;
}

void placer::add_failure_costs(std::vector<candidate>& candidates)
{
    double most_sound = 1;
    for (const auto& one : candidates) {
        if (one.state->outcomes >= telling_outcomes) {
            most_sound = std::min(most_sound, one.state->failure_rate);
        }
    }
    for (auto& one : candidates) {
        one.cost += std::max(0.0, one.state->failure_rate - most_sound - failure_tolerance) *
                    milliseconds_f(failure_cost);
    }
}

void placer::keep_some(std::vector<candidate>& candidates, const upstream_name* preferred)
{
    // The VMs of a region see the same loads, some of them late. If all took the best upstream, it would get
    // the requests of all until the next reports.
    const auto vms = m_neighbours.size() + 1;
    const auto kept = std::max<std::size_t>(least_compared, compared_for_share * candidates.size() / vms);
    if (kept >= candidates.size()) {
        return;
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    std::erase_if(candidates, [&, number = std::size_t{0}](const candidate& one) mutable {
        const bool wanted = preferred != nullptr && one.state->view.record.id == *preferred;
        return ++number > kept && !wanted && !one.knows_prompt;
    });
}

std::vector<placer::candidate> placer::candidates_for(const placing_request& request,
                                                      const service_plan& plan, const fleet_load& load,
                                                      time_point now, placing_verdict& without) const
{
    const auto* service = plan.find_service(request.service);
    std::vector<candidate> candidates;
    without = placing_verdict::no_upstream;
    for (const auto& [id, state] : load.all()) {
        const auto& view = state.view;
        const bool here = view.region == m_region;
        if (view.record.service != request.service || (!here && request.own_region_only) ||
            !may_run_in(view.region, *request.route, request.customer) ||
            std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end() ||
            std::find(request.refused_by.begin(), request.refused_by.end(), view.region) !=
                request.refused_by.end()) {
            continue;
        }
        if (!here && (!m_vms.contains(view.region) || view.cold_until > now)) {
            continue;
        }
        if (here && state.next_trial > now) {
            without = std::max(without, placing_verdict::unreachable);
            continue;
        }
        if (state.full_until > now) {
            without = std::max(without, placing_verdict::overloaded);
            continue;
        }
        if (here && service != nullptr && !cold_room(state, *service, now)) {
            without = std::max(without, placing_verdict::cold);
            continue;
        }
        candidates.push_back(rate(request, load, state, now));
    }
    return candidates;
}

const upstream_name* placer::prefer_one(const placing_request& request,
                                        std::vector<candidate>& candidates) const
{
    const auto prompt = shared_prompt_of(request.parts);
    if (prompt == 0) {
        return nullptr;
    }
    const auto preferred = std::max_element(
        candidates.begin(), candidates.end(), [&](const candidate& one, const candidate& other) {
            return std::pair(one.here, preference(prompt, one.state->view.record.id)) <
                   std::pair(other.here, preference(prompt, other.state->view.record.id));
        });
    preferred->cost -= milliseconds_f(static_cast<double>(shared_tokens(request.parts)) /
                                      m_settings.prompt_tokens_per_ms * agreement_bonus);
    return &preferred->state->view.record.id;
}

placement placer::place(const placing_request& request, const service_plan& plan, const fleet_load& load,
                        time_point now)
{
    auto without = placing_verdict::no_upstream;
    auto candidates = candidates_for(request, plan, load, now, without);
    if (candidates.empty()) {
        return refuse(request, without, {});
    }
    // A pool in which every upstream is suspected is more likely a fault of this VM's view: all stay in.
    const bool all_suspected =
        std::all_of(candidates.begin(), candidates.end(), [](const candidate& one) { return one.suspected; });
    if (!all_suspected) {
        std::erase_if(candidates, [](const candidate& one) { return one.suspected; });
    }
    add_failure_costs(candidates);
    keep_some(candidates, prefer_one(request, candidates));
    const auto best =
        std::min_element(candidates.begin(), candidates.end(),
                         [](const candidate& one, const candidate& other) { return one.cost < other.cost; });
    const auto predicted = std::chrono::ceil<std::chrono::milliseconds>(best->first_byte);
    const milliseconds_f objective = request.route->latency_objective;
    const auto soon = objective * m_settings.shed_objective - request.waited;
    const auto limit = std::min<milliseconds_f>(
        request.time_left,
        std::max<milliseconds_f>(soon, best->reading * 1.1 + objective * m_settings.shed_wait +
                                           m_settings.region_round_trip));
    const bool too_late = best->first_byte > limit && !request.begun;
    m_refused_part += refused_part_weight * ((too_late ? 1.0 : 0.0) - m_refused_part);
    if (too_late) {
        return refuse(request, placing_verdict::overloaded, predicted);
    }
    placement chosen;
    chosen.verdict = best->here ? placing_verdict::here : placing_verdict::other_region;
    chosen.upstream = best->state->view.record.id;
    chosen.region = best->state->view.region;
    chosen.address = best->here ? best->state->view.record.address : vm_of(chosen.region);
    chosen.predicted = predicted;
    chosen.running = load.running(*best->state, now);
    return chosen;
}

} // namespace cardamomstream
