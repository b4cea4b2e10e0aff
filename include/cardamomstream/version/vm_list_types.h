/// The platform's lagging list of VMs and upstreams, as plain values.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace cardamomstream {

enum class listed_state { live, leaving };

/// An entry VM as the platform lists it.
struct listed_vm {
    region_name region;
    data_centre_name data_centre;
    endpoint entry;
    endpoint peer;
    listed_state state = listed_state::live;
};

/// An upstream as the platform lists it.
struct listed_upstream {
    pool_name pool;
    region_name region;
    data_centre_name data_centre;
    endpoint address;
    listed_state state = listed_state::live;
    std::uint32_t slots = 1;     ///< requests that it runs side by side
    bool checks_fencing = false; ///< refuses an order with an old fencing number
};

/// One version of the list.
struct vm_list {
    version_number version = 0;
    std::map<vm_name, listed_vm> vms;
    std::map<upstream_name, listed_upstream> upstreams;
};

using vm_list_snapshot = std::shared_ptr<const vm_list>;

} // namespace cardamomstream
