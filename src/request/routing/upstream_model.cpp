#include "upstream_model.h"

#include <algorithm>
#include <cmath>

namespace cardamomstream {

namespace {

using seconds = std::chrono::duration<double>;

constexpr std::size_t max_own_history = 128;
constexpr token_count min_measured_prefill = 64; // fewer tokens measure the connection
// Constant steps track the median, which a wrongly assumed cache hit hardly moves.
constexpr double prefill_rate_step = 1.05;
constexpr double load_uncertainty = 0.5; // standard deviations added to the delayed load of other VMs
constexpr double cache_hit_ratio_gain = 0.05;
constexpr double service_time_gain = 0.1;

std::chrono::microseconds to_microseconds(seconds value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

} // namespace

upstream_model::upstream_model(listed_upstream listed, const router_settings& settings,
                               std::optional<time_point> cold_since)
    : m_listed(std::move(listed))
    , m_settings(settings)
    , m_cold_since(cold_since)
    , m_prefill_rate(settings.default_prefill_rate)
    , m_service_time(settings.default_service_time)
{
}

void upstream_model::restart_cold(time_point now)
{
    m_usable = true;
    m_cold_since = now;
    m_prefixes.clear();
    m_prefix_order.clear();
    m_others_measured_at.reset();
}

void upstream_model::set_published_load(const upstream_load& load, time_point now)
{
    if (load.age > m_settings.load_max_age) {
        return;
    }
    const auto measured_at = now - load.age;
    if (m_others_measured_at && measured_at < *m_others_measured_at) {
        return;
    }
    m_others_in_flight = std::max(0.0, load.in_flight - own_in_flight_at(measured_at));
    m_others_measured_at = measured_at;
}

void upstream_model::started(token_count prefill_tokens, std::uint64_t digest, time_point now)
{
    change_in_flight(1, now);
    m_prefill_pending += prefill_tokens;
    if (digest != 0) {
        remember_prefix(digest);
    }
}

void upstream_model::first_byte(const route_attempt& attempt, time_point now)
{
    m_prefill_pending = std::max<token_count>(0, m_prefill_pending - attempt.prefill_tokens);
    if (attempt.prefilled_at_once) {
        update_estimates(attempt,
                         std::max<boot_clock::duration>(now - attempt.started, std::chrono::microseconds{1}));
    }
}

// A prompt that may be cached updates the cache hit ratio only, since its computed tokens are unknown; any
// other prompt updates the prefill rate.
void upstream_model::update_estimates(const route_attempt& attempt, std::chrono::duration<double> latency)
{
    if (attempt.expected_cached_tokens >= min_measured_prefill) {
        const double computed = latency.count() * m_prefill_rate;
        const auto tokens_if_missed = static_cast<double>(attempt.prompt_tokens);
        const auto tokens_if_hit =
            static_cast<double>(attempt.prompt_tokens - attempt.expected_cached_tokens);
        const double hit = computed < (tokens_if_hit + tokens_if_missed) / 2 ? 1 : 0;
        m_cache_hit_ratio += cache_hit_ratio_gain * (hit - m_cache_hit_ratio);
        return;
    }
    if (attempt.prompt_tokens >= min_measured_prefill) {
        const double measured = static_cast<double>(attempt.prompt_tokens) / latency.count();
        m_prefill_rate *= measured > m_prefill_rate ? prefill_rate_step : 1 / prefill_rate_step;
    }
}

token_count upstream_model::expected_prefill(token_count prompt, token_count expected_cached) const
{
    return prompt - static_cast<token_count>(static_cast<double>(expected_cached) * m_cache_hit_ratio);
}

void upstream_model::end_attempt(const route_attempt& attempt, time_point now)
{
    change_in_flight(-1, now);
    if (!attempt.first_byte_at) {
        m_prefill_pending = std::max<token_count>(0, m_prefill_pending - attempt.prefill_tokens);
    }
}

void upstream_model::finished(const route_attempt& attempt, time_point now)
{
    end_attempt(attempt, now);
    // The slot is held during prefill and response, not while the request is queued.
    const seconds prefill{static_cast<double>(attempt.prefill_tokens) / m_prefill_rate};
    const seconds answer = now - attempt.first_byte_at.value_or(attempt.started);
    m_service_time += service_time_gain * (answer + prefill - m_service_time);
}

double upstream_model::load(time_point now) const
{
    return m_own_in_flight + others_in_flight(now);
}

double upstream_model::others_in_flight(time_point now) const
{
    const bool known = m_others_measured_at && now - *m_others_measured_at <= m_settings.load_max_age;
    return known ? m_others_in_flight : 0;
}

std::uint32_t upstream_model::open_slots(std::uint32_t vms, time_point now) const
{
    if (!usable()) {
        return 0;
    }
    const std::uint32_t slots = std::max(1U, m_listed.slots);
    const std::uint32_t equal_share = (slots + vms - 1) / vms;
    if (!m_others_measured_at || now - *m_others_measured_at > m_settings.load_max_age) {
        return equal_share;
    }
    // The report is delayed, so two VMs may see the same slot as free; the margin makes it less likely that
    // both use it.
    const double taken = m_others_in_flight + load_uncertainty * std::sqrt(m_others_in_flight);
    return std::max(equal_share, static_cast<std::uint32_t>(slots - std::min<double>(slots, taken)));
}

double upstream_model::slow_start_share(time_point now) const
{
    if (!m_cold_since || m_settings.slow_start.count() == 0) {
        return 1;
    }
    const seconds elapsed = now - *m_cold_since;
    const double min_share = 1.0 / std::max(1U, m_listed.slots);
    return std::clamp(elapsed / seconds{m_settings.slow_start}, min_share, 1.0);
}

bool upstream_model::can_prefill_at_once(time_point now) const
{
    return m_prefill_pending == 0 && load(now) < m_listed.slots;
}

route_cost upstream_model::predict(token_count prefill_tokens, time_point now) const
{
    const double slots = std::max(1.0, m_listed.slots * slow_start_share(now));
    double excess = load(now) + load_uncertainty * std::sqrt(others_in_flight(now)) - slots + 1;
    if (at_limit()) {
        excess = std::max(excess, static_cast<double>(m_own_in_flight - *m_limit) + 1);
    }
    const seconds slot_wait = std::max(0.0, excess) / slots * m_service_time;
    const seconds prefill_wait{static_cast<double>(m_prefill_pending) / m_prefill_rate};
    const seconds prefill{static_cast<double>(prefill_tokens) / m_prefill_rate};
    return {to_microseconds(slot_wait + prefill_wait), to_microseconds(prefill),
            std::chrono::microseconds{0}};
}

void upstream_model::change_in_flight(int step, time_point now)
{
    if (step < 0 && m_own_in_flight == 0) {
        return;
    }
    m_own_in_flight = step < 0 ? m_own_in_flight - 1 : m_own_in_flight + 1;
    m_own_history.push_back({now, m_own_in_flight});
    if (m_own_history.size() > max_own_history) {
        m_own_history.pop_front();
    }
}

std::uint32_t upstream_model::own_in_flight_at(time_point when) const
{
    const auto later = std::find_if(m_own_history.rbegin(), m_own_history.rend(),
                                    [&](const in_flight_change& step) { return step.at <= when; });
    if (later != m_own_history.rend()) {
        return later->in_flight;
    }
    return m_own_history.size() < max_own_history ? 0 : m_own_history.front().in_flight;
}

void upstream_model::remember_prefix(std::uint64_t digest)
{
    m_prefix_order.push_back(digest);
    ++m_prefixes[digest];
    while (m_prefixes.size() > m_settings.prefixes_per_upstream ||
           m_prefix_order.size() > 4 * m_settings.prefixes_per_upstream) {
        const auto oldest = m_prefixes.find(m_prefix_order.front());
        m_prefix_order.pop_front();
        if (oldest != m_prefixes.end() && --oldest->second == 0) {
            m_prefixes.erase(oldest);
        }
    }
}

} // namespace cardamomstream
