#include "cardamomstream/request/placing/lateness_table.h"

#include <algorithm>
#include <cmath>

namespace cardamomstream {

namespace {

// Weight of a sample in the average: more when the average is old. The average decays exponentially to 0.
constexpr double min_weight = 0.03;
constexpr double max_weight = 0.15;
constexpr std::chrono::duration<double> decay_time{3};

// Limits of one sample: a prompt that was prefilled far slower than predicted says little about the wait
// before it.
constexpr double min_sample_ms = -200;
constexpr double max_sample_ms = 800;

} // namespace

void lateness_table::sample(const lateness_key& key, std::chrono::nanoseconds late, time_point now)
{
    const auto ms =
        std::clamp(std::chrono::duration<double, std::milli>(late).count(), min_sample_ms, max_sample_ms);
    add(key, ms, 1, now);
    auto& sum = m_unreported[key];
    sum.ms += ms;
    sum.samples += 1;
}

void lateness_table::add_reported(const region_name& region, const std::vector<lateness_sample>& samples,
                                  time_point now)
{
    for (const auto& entry : samples) {
        add({entry.service, region, entry.urgency}, static_cast<double>(entry.mean.count()), entry.samples,
            now);
    }
}

void lateness_table::add(const lateness_key& key, double mean_ms, std::uint32_t samples, time_point now)
{
    auto& known = m_averages[key];
    const std::chrono::duration<double> age = now - known.at;
    const double decay = std::exp(-age / decay_time);
    const double weight = std::max(1 - std::pow(1 - min_weight, samples), std::min(1 - decay, max_weight));
    known = {known.ms * decay + weight * (mean_ms - known.ms * decay), now};
}

std::chrono::milliseconds lateness_table::expected(const lateness_key& key, time_point now) const
{
    const auto found = m_averages.find(key);
    if (found == m_averages.end()) {
        return std::chrono::milliseconds{0};
    }
    const std::chrono::duration<double> age = now - found->second.at;
    const double late = found->second.ms * std::exp(-age / decay_time);
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::max(late, 0.0)));
}

std::vector<lateness_sample> lateness_table::take_unreported()
{
    std::vector<lateness_sample> all;
    for (const auto& [key, sum] : m_unreported) {
        const auto mean = static_cast<std::int64_t>(sum.ms / sum.samples);
        all.push_back({key.service, key.urgency, std::chrono::milliseconds(mean), sum.samples});
    }
    m_unreported.clear();
    return all;
}

} // namespace cardamomstream
