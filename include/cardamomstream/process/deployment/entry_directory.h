/// Selects the VMs that a caller is led to.
#pragma once

#include "cardamomstream/process/deployment/node_settings.h"
#include "cardamomstream/process/deployment/region_restarts.h"
#include "cardamomstream/process/deployment/vm_table.h"

#include <chrono>
#include <string>
#include <vector>

namespace cardamomstream {

/// How long callers may cache an answer. A VM that stops disappears from all cached answers within about
/// this time.
inline constexpr std::chrono::seconds entry_answer_lifetime{2};

/// A caller's query for entry addresses.
struct entry_query {
    std::string host; ///< host that the caller wants to reach
    region_name region;
    data_centre_name data_centre;
};

/// With this many ready VMs in its own data centre, a caller has others to try when one fails.
inline constexpr std::size_t min_local_vms = 3;

/// What the answering VM knows of the fleet.
struct directory_view {
    const service_plan* plan = nullptr; ///< null: none known
    const known_vms& vms;               ///< must outlive this view
    const region_restarts& restarts;    ///< must outlive this view
    time_point now;
    bool self_ready = false;
    bool self_links_lost = false; ///< the links of this VM to its region's upstreams
};

/// VMs that have lost their links to the upstreams count only where too few others of their region have
/// theirs. Returns the entry addresses of the ready VMs in the caller's data centre, or in its whole region
/// while fewer than `min_local_vms` of them are ready. If there are none, returns those of the regions in
/// which most routes of the host may be served, since the request body goes to the VM that the caller
/// connects to. Returns none while no VM of these regions is ready but one stops or starts: the caller asks
/// again. Else returns those of the next best regions, if any route may be served there. VMs of larger
/// machines are named several times, see `weigh_entries`.
std::vector<endpoint> entry_addresses(const entry_query& query, const node_settings& self,
                                      const directory_view& known);

} // namespace cardamomstream
