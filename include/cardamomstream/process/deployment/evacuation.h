/// Data centres that the operators have evacuated, so that they get no requests.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/version/service_plan/service_plan.h"

#include <chrono>
#include <map>
#include <optional>

namespace cardamomstream {

/// Evacuated data centres, with the time at which this process learnt of it.
using evacuations = std::map<data_centre_name, time_point>;

/// Time since which every data centre that may run a request of the route and customer has been evacuated;
/// nullopt while one is open. `regions` holds the region of each data centre.
std::optional<time_point> evacuated_since(const evacuations& evacuated,
                                          const std::map<data_centre_name, region_name>& regions,
                                          const plan_route& route, const plan_customer* customer);

/// Retry delay for callers whose data centres are all evacuated. The end of an evacuation is not known in
/// advance; it is expected to last as long again as it has lasted so far, within bounds.
std::chrono::milliseconds evacuation_retry_delay(time_point since, time_point now);

} // namespace cardamomstream
