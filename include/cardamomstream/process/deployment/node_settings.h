/// Settings of a process that reads upstreams and plans from its deployment's store and never writes to it.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// Limits that the deployment sets for the whole fleet.
struct fleet_bounds {
    std::chrono::milliseconds stop_grace{8'000}; ///< from the stop signal to the kill
    double retry_ratio = 0.2;                    ///< additional sends allowed for each request to a service
    double retry_extra = 0; ///< additional sends allowed on top of these in each `retry_window`
    std::chrono::milliseconds retry_window{10'000};
    std::chrono::milliseconds change_time{4'000}; ///< within which a change by the operator is in force
    double cold_factor = 1;                       ///< a cold upstream may get its published rate times this
    double cold_slack = 0;                        ///< requests per second on top of that

    /// Reports of other regions and answers of a slow store may take as long, whatever `change_time` is.
    static constexpr std::chrono::milliseconds min_plan_trust_time{2'000};

    /// For so long the homes in a plan are trusted that nobody confirms.
    std::chrono::milliseconds plan_trust_time() const { return std::max(change_time, min_plan_trust_time); }
};

struct node_settings {
    vm_name vm;
    region_name region;
    data_centre_name data_centre;
    std::map<data_centre_name, region_name> regions; ///< of every data centre
    std::string ip;
    std::optional<endpoint> entry_listener;     ///< for callers' requests
    std::optional<endpoint> ready_listener;     ///< for the platform's readiness probe
    std::optional<endpoint> directory_listener; ///< for callers' entry queries
    endpoint inner_listener;                    ///< TCP and UDP, for other VMs
    std::vector<endpoint> seeds; ///< inner addresses of VMs to contact first; they need not exist
    endpoint store;
    std::uint32_t max_descriptors = 1'024;
    double processor_cores = 1;                                ///< that the process may use
    double link_mbps = 1'000;                                  ///< of the machine, in each direction
    std::size_t memory_bytes = std::size_t{256} * 1024 * 1024; ///< of the machine
    fleet_bounds bounds;
};

} // namespace cardamomstream
