#include "cardamomstream/request/placing/engine_room.h"

#include <algorithm>

namespace cardamomstream {

namespace {

/// Fraction of the slots that each step of urgency leaves to more urgent requests, and what the least urgent
/// may use all the same.
constexpr double reserve_per_urgency = 0.07;
constexpr double least_usable_slots = 0.8;

/// Fraction of the slots that are filled at all: what other VMs have sent meanwhile isn't known yet, and the
/// fuller an engine is, the slower its streams go on.
constexpr double usable_slots = 0.8;

/// Requests are counted with all of their prompts, though they share parts of them: more than the memory's
/// size may be counted before it is used up.
constexpr double countable_memory = 1.1;

} // namespace

bool has_room(const engine_occupancy& engine, const room_demand& demand)
{
    if (engine.running < 1) {
        return true; // one that is too large for any engine is its own to refuse
    }
    const double usable = engine.slots * usable_slots *
                          std::max(least_usable_slots, 1 - reserve_per_urgency * std::max(0, demand.urgency));
    if (engine.running + 1 > usable) {
        return false;
    }
    const auto needed = static_cast<double>(engine.memory_used + demand.memory);
    return engine.memory_size <= 0 || needed <= static_cast<double>(engine.memory_size) * countable_memory;
}

} // namespace cardamomstream
