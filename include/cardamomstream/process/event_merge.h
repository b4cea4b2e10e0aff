/// Merges the events of several processes into one time line.
#pragma once

#include "cardamomstream/process/events_types.h"

#include <chrono>
#include <vector>

namespace cardamomstream {

/// An event in its place on the time line.
struct timeline_entry {
    event value;
    /// Wall time, raised to that of every event that this one follows; so no arrow points backwards where
    /// the clocks of two VMs differ.
    std::chrono::system_clock::time_point shown_at;
};

/// Orders events so that each stands after the earlier ones of its process and after its cause; events that
/// neither fact orders stand by wall time. Duplicates are dropped. A cause that is not among the events
/// orders nothing. Equal input in any order gives equal output.
std::vector<timeline_entry> merge_events(std::vector<event> events);

} // namespace cardamomstream
