/// Which VMs a caller is told to connect to.
#pragma once

#include "cardamomstream/process/deployment/node_settings.h"
#include "cardamomstream/process/deployment/vm_table.h"

#include <chrono>
#include <string>
#include <vector>

namespace cardamomstream {

/// How long callers may keep an answer: a VM that stops is out of the answers of all within about this time.
inline constexpr std::chrono::seconds entry_answer_lifetime{2};

/// What a caller who asks where to connect says of itself.
struct entry_query {
    std::string host; ///< that it wants to reach
    region_name region;
    data_centre_name data_centre;
};

/// A process that has run for less may not have heard of every VM yet.
inline constexpr std::chrono::seconds directory_settling_time{3};

/// With so many ready VMs in its data centre a caller can try another one when one fails.
inline constexpr std::size_t enough_near_vms = 3;

/// What a VM knows when it is asked.
struct directory_view {
    const service_plan* plan = nullptr; ///< null: none known
    const known_vms& vms;               ///< must outlive the question
    bool self_ready = false;
    bool settled = false; ///< the process has run for `directory_settling_time`
};

/// Entry addresses of the ready VMs of the caller's data centre, or of its region while fewer than
/// `enough_near_vms` of them are ready. Where there are none, of the regions in which
/// most routes of the host may be served, since a caller's request body goes to the VM that it connects to. A
/// VM that is not settled names no other region than the best ones of the plan: the caller asks another VM
/// meanwhile.
std::vector<endpoint> entry_addresses(const entry_query& query, const node_settings& self,
                                      const directory_view& known);

} // namespace cardamomstream
