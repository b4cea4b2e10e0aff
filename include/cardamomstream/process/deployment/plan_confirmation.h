/// Until when this VM's plan is known to have been the newest.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <map>

namespace cardamomstream {

/// A plan is confirmed by an answer of the store, or when every other region has reported no change that this
/// VM misses. While only the store is away, the regions confirm each other's plan; a region that is cut off
/// from the store and from another region can't tell whether that one has a newer plan. Not thread-safe.
class plan_confirmation {
public:
    /// The operator's entries of the store were then known up to their newest change.
    void record_store_answer(time_point at);

    /// A VM of another region then knew of no change that this VM misses.
    void record_region(const region_name& region, time_point at);

    /// `now` while no other region has ever reported: none can have a newer plan.
    time_point confirmed_at(time_point now) const;

private:
    time_point m_store_answered_at;
    std::map<region_name, time_point> m_regions; ///< all that have ever reported, and when they last did
};

} // namespace cardamomstream
