/// Which VMs a caller is told to connect to.
#pragma once

#include "cardamomstream/process/deployment/node_settings.h"
#include "cardamomstream/process/deployment/vm_table.h"

#include <chrono>
#include <vector>

namespace cardamomstream {

/// How long callers may keep an answer: a VM that stops is out of the answers of all within about this time.
inline constexpr std::chrono::seconds entry_answer_lifetime{2};

/// Entry addresses of the ready VMs of the caller's region; where there are none, of every other region.
std::vector<endpoint> entry_addresses(const region_name& region, const node_settings& self,
                                      const std::vector<known_vm>& vms, bool self_ready);

} // namespace cardamomstream
