/// When this VM's plan was last known to be the newest.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <map>
#include <set>
#include <utility>

namespace cardamomstream {

/// A plan is confirmed by an answer of the store, or by all other data centres together when none of them
/// knows of a change that this VM misses. While only the store is away, the data centres confirm each other's
/// plan; a VM that is cut off from the store and from one of them can't exclude that this one has a newer
/// plan. Not thread-safe.
class plan_confirmation {
public:
    /// `other_regions`: those of the deployment in which this VM isn't.
    explicit plan_confirmation(std::set<region_name> other_regions)
        : m_other_regions(std::move(other_regions))
    {
    }

    /// Takes from another VM's report what confirms `plan`, the version of this VM's plan, or 0. `known`: up
    /// to where this VM knows the operator's entries.
    void record_report(const vm_report& report, version_number plan, store_position known, time_point now);

    /// The store's answer showed that nothing newer was published up to then.
    void record_store_answer(time_point at);

    /// Another data centre reported this VM's plan, and no change that this VM misses.
    void record_data_centre(const data_centre_name& data_centre, const region_name& region, time_point at);

    /// All VMs of the data centre leave: it isn't waited for any more.
    void forget_data_centre(const data_centre_name& data_centre) { m_data_centres.erase(data_centre); }

    /// `now` in a deployment of one region. Epoch: never.
    time_point confirmed_at(time_point now) const;

private:
    struct last_report {
        region_name region;
        time_point at;
    };

    time_point confirmed_by_data_centres(time_point now) const;

    std::set<region_name> m_other_regions;
    std::map<data_centre_name, last_report> m_data_centres; ///< that have reported so, ever
    time_point m_store_answered_at;
};

} // namespace cardamomstream
