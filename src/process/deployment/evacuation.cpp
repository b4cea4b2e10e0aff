#include "cardamomstream/process/deployment/evacuation.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds min_retry_delay{1'000};
constexpr std::chrono::milliseconds max_retry_delay{10'000};

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
        const auto found = evacuated.find(data_centre);
        if (found == evacuated.end()) {
            return std::nullopt;
        }
        since = std::max(since.value_or(found->second), found->second);
    }
    return since;
}

std::chrono::milliseconds evacuation_retry_delay(time_point since, time_point now)
{
    return std::clamp(std::chrono::floor<std::chrono::milliseconds>(now - since), min_retry_delay,
                      max_retry_delay);
}

} // namespace cardamomstream
