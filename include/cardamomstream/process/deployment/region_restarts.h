/// Remembers which regions have VMs that are about to take callers again.
#pragma once

#include "cardamomstream/process/deployment/vm_table.h"

#include <chrono>
#include <map>

namespace cardamomstream {

/// A VM that stops as planned, or starts, takes callers again within this time.
inline constexpr std::chrono::seconds vm_return_time{20};

/// Not thread-safe.
class region_restarts {
public:
    explicit region_restarts(time_point started)
        : m_started(started)
    {
    }

    /// Notes the VMs that are alive and not ready: they stop or start.
    void update(const known_vms& vms, time_point now);
    void note_restart(const region_name& region, time_point now);

    /// True if a VM of the region stopped or started within `vm_return_time`, or this process may have missed
    /// it. False where VMs were killed.
    bool may_return(const region_name& region, time_point now) const;

private:
    time_point m_started;
    std::map<region_name, time_point> m_restart_at;
};

} // namespace cardamomstream
