#include "cardamomstream/request/placing/lateness_table.h"

#include <algorithm>
#include <cmath>

namespace cardamomstream {

namespace {

// An average takes a sample with this weight, more when it is old, and fades towards none.
constexpr double least_weight = 0.03;
constexpr double most_weight = 0.15;
constexpr std::chrono::duration<double> memory{3};

// Bounds of one sample: a prompt that was read far slower than predicted says little of the wait before it.
constexpr double least_sample_ms = -200;
constexpr double most_sample_ms = 800;

} // namespace

void lateness_table::sample(const lateness_key& key, std::chrono::nanoseconds late, time_point now)
{
    const auto ms =
        std::clamp(std::chrono::duration<double, std::milli>(late).count(), least_sample_ms, most_sample_ms);
    add(key, ms, 1, now);
    auto& sum = m_unreported[key];
    sum.ms += ms;
    sum.samples += 1;
}

void lateness_table::learn(const region_name& region, const std::vector<lateness_sample>& samples,
                           time_point now)
{
    for (const auto& one : samples) {
        add({one.service, region, one.urgency}, static_cast<double>(one.mean.count()), one.samples, now);
    }
}

void lateness_table::add(const lateness_key& key, double mean_ms, std::uint32_t samples, time_point now)
{
    auto& known = m_averages[key];
    const std::chrono::duration<double> age = now - known.at;
    const double left = std::exp(-age / memory);
    const double weight = std::max(1 - std::pow(1 - least_weight, samples), std::min(1 - left, most_weight));
    known = {known.ms * left + weight * (mean_ms - known.ms * left), now};
}

std::chrono::milliseconds lateness_table::expected(const lateness_key& key, time_point now) const
{
    const auto found = m_averages.find(key);
    if (found == m_averages.end()) {
        return std::chrono::milliseconds{0};
    }
    const std::chrono::duration<double> age = now - found->second.at;
    const double late = found->second.ms * std::exp(-age / memory);
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::max(late, 0.0)));
}

std::vector<lateness_sample> lateness_table::take()
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
