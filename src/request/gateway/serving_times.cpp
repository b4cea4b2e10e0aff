#include "cardamomstream/request/gateway/serving_times.h"

#include <cmath>

namespace cardamomstream {

namespace {

// Weights of one sample as RFC 6298 recommends. It uses four deviations, since a timer that fires too early
// is harmful. Here a bound that is too high refuses requests that could be served, so it is the one below
// which 19 of 20 requests stay.
constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;
constexpr double deviation_factor = 3;

/// Used for a route without samples: the time of a long stream on a busy engine.
constexpr std::chrono::milliseconds default_bound{4'000};

} // namespace

void serving_times::sample(const route_name& route, std::chrono::milliseconds took)
{
    const auto ms = static_cast<double>(took.count());
    const auto [found, first] = m_estimates.try_emplace(route, estimate{ms, ms / 2});
    if (first) {
        return;
    }
    auto& current = found->second;
    current.deviation_ms += deviation_weight * (std::abs(ms - current.mean_ms) - current.deviation_ms);
    current.mean_ms += mean_weight * (ms - current.mean_ms);
}

std::chrono::milliseconds serving_times::upper_bound(const route_name& route) const
{
    const auto found = m_estimates.find(route);
    if (found == m_estimates.end()) {
        return default_bound;
    }
    return std::chrono::milliseconds(
        std::llround(found->second.mean_ms + deviation_factor * found->second.deviation_ms));
}

} // namespace cardamomstream
