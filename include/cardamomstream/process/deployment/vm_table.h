/// The other VMs, as their reports tell of them.
#pragma once

#include "cardamomstream/process/deployment/deployment_types.h"

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace cardamomstream {

/// What is known of one other VM.
struct known_vm {
    vm_report report;
    time_point heard_at;
};

/// VMs with their last reports. A report is never changed once it was taken, so that readers tell by the
/// pointer whether there is a newer one.
using known_vms = std::vector<std::shared_ptr<const known_vm>>;

/// Reports that are older than this say nothing of the VM's present state.
inline constexpr std::chrono::milliseconds vm_alive_limit{1'500};

/// After this long without a report a VM no longer counts as a sharer of fleet-wide rights.
inline constexpr std::chrono::seconds vm_forget_limit{30};

/// Decisions on membership; no I/O. Not thread safe.
class vm_table {
public:
    explicit vm_table(vm_name self);

    /// Takes a report unless it is older than the one known. True when it was taken.
    bool apply(const vm_report& report, time_point now);

    /// An inner address that another VM or the settings named, heard of or not.
    void learn_address(const endpoint& inner);

    /// Addresses to which this VM reports.
    std::vector<endpoint> addresses() const;

    /// Addresses of VMs heard lately, to pass on.
    std::vector<endpoint> heard_addresses(time_point now) const;

    known_vms alive(time_point now) const;

    /// True when this VM tells the other regions the loads of its own: it has the lowest name of those alive.
    /// Two VMs that both believe so do no harm, since readers take one of them for each region.
    bool speaks_for(const region_name& region, time_point now) const;

    /// Loads that the region's VMs have reported, summed by upstream, with `own` among them.
    std::vector<upstream_load> region_loads(const region_name& region, std::vector<upstream_load> own,
                                            time_point now) const;

    /// Inner addresses of the VMs alive in the region, or of all other addresses known.
    std::vector<endpoint> addresses_in(const region_name& region, time_point now) const;
    std::vector<endpoint> addresses_outside(const region_name& region, time_point now) const;

    /// Number of VMs that may use fleet-wide rights beside this one: heard within `vm_forget_limit`.
    std::size_t sharers(time_point now) const;

    /// True when the store has failed so many of the VMs alive that it is not their own connections.
    bool store_fails_others(time_point now) const;

    /// Forgets VMs and addresses that have been silent for long.
    void expire(time_point now);

private:
    vm_name m_self;
    std::map<vm_name, std::shared_ptr<const known_vm>> m_vms;
    std::map<endpoint, time_point> m_addresses; ///< when each was heard of last; epoch: from the settings
};

} // namespace cardamomstream
