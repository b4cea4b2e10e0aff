/// Data centres that the operators have closed to requests.
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

/// Since when every data centre in which a request of the route and the customer may run is evacuated; none
/// while one is open. `regions` holds the region of each data centre.
std::optional<time_point> evacuated_since(const evacuations& evacuated,
                                          const std::map<data_centre_name, region_name>& regions,
                                          const plan_route& route, const plan_customer* customer);

/// When callers of a region that is closed should come back. Nothing tells how long an evacuation lasts; one
/// that has lasted for long is expected to last as long again, within bounds.
std::chrono::milliseconds evacuation_retry_delay(time_point since, time_point now);

} // namespace cardamomstream
