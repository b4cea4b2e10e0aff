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
struct entry_question {
    std::string host; ///< that it wants to reach
    region_name region;
    data_centre_name data_centre;
};

/// Entry addresses of the ready VMs of the caller's region. Where there are none, of the regions in which every
/// route of the host may be served, since a caller's request body goes to the VM that it connects to; of every
/// region where that leaves none.
std::vector<endpoint> entry_addresses(const entry_question& question, const service_plan* plan,
                                      const node_settings& self, const std::vector<known_vm>& vms,
                                      bool self_ready);

} // namespace cardamomstream
