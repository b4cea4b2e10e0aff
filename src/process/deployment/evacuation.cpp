#include "cardamomstream/process/deployment/evacuation.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds least_wait{1'000};
constexpr std::chrono::milliseconds longest_wait{10'000};

} // namespace

std::optional<time_point> evacuated_since(const evacuations& evacuated,
                                          const std::map<data_centre_name, region_name>& regions,
                                          const plan_route& route, const plan_customer* customer)
{
    std::optional<time_point> since;
    for (const auto& [data_centre, region] : regions) {
        if (!may_run_in(region, route, customer)) {
            continue;
        }
        const auto closed = evacuated.find(data_centre);
        if (closed == evacuated.end()) {
            return std::nullopt;
        }
        since = std::max(since.value_or(closed->second), closed->second);
    }
    return since;
}

std::chrono::milliseconds evacuation_retry_delay(time_point since, time_point now)
{
    return std::clamp(std::chrono::floor<std::chrono::milliseconds>(now - since), least_wait, longest_wait);
}

} // namespace cardamomstream
