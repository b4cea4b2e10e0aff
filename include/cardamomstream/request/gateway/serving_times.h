/// Time that requests take from their arrival to the end of their answer.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <unordered_map>

namespace cardamomstream {

/// Used by a stopping VM, which accepts only requests that it can answer before the process ends. Keeps mean
/// and deviation for each route, as RFC 6298 does for round-trip times. Not thread safe.
class serving_times {
public:
    /// Adds the time of a request of the route that was answered completely.
    void sample(const route_name& route, std::chrono::milliseconds took);

    /// Time that few requests of the route exceed; a default until this VM has answered one.
    std::chrono::milliseconds upper_bound(const route_name& route) const;

private:
    struct estimate {
        double mean_ms = 0;
        double deviation_ms = 0;
    };

    std::unordered_map<route_name, estimate> m_estimates;
};

} // namespace cardamomstream
