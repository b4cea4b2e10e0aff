/// Settings of a process whose deployment lists upstreams and plans in a store that is only read.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// Figures that the deployment's bounds set for the whole fleet.
struct fleet_bounds {
    std::chrono::milliseconds stop_grace{8'000}; ///< from the stop signal to the kill
    double retry_ratio = 0.2;                    ///< further sends for each request to a service
    double retry_extra = 0;                      ///< further sends beside them in `retry_window`
    std::chrono::milliseconds retry_window{10'000};
    double cold_factor = 1; ///< times the published rate that a cold upstream may get
    double cold_slack = 0;  ///< requests a second beside it
};

struct node_settings {
    vm_name vm;
    region_name region;
    data_centre_name data_centre;
    std::map<data_centre_name, region_name> regions; ///< of every data centre
    std::string ip;
    std::optional<endpoint> entry_listener;     ///< for callers' requests
    std::optional<endpoint> ready_listener;     ///< for the platform's readiness question
    std::optional<endpoint> directory_listener; ///< for callers who ask where to connect
    endpoint inner_listener;                    ///< TCP and UDP, for other VMs
    std::vector<endpoint> seeds;                ///< inner addresses of VMs that may exist
    endpoint store;
    std::uint32_t max_descriptors = 1'024;
    fleet_bounds bounds;
};

} // namespace cardamomstream
