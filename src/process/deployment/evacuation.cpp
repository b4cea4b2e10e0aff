#include "cardamomstream/process/deployment/evacuation.h"

#include <algorithm>

namespace cardamomstream {

std::optional<time_point> closed_since(const evacuations& evacuated,
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

} // namespace cardamomstream
