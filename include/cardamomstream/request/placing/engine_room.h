/// Whether an engine has room for a further request.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <cstdint>

namespace cardamomstream {

/// Load of an engine, that of all VMs together as far as known.
struct engine_occupancy {
    double slots = 1;            ///< requests that run at once
    double running = 0;          ///< requests that run or wait there
    token_count memory_size = 0; ///< 0: unknown
    token_count memory_used = 0; ///< by these requests, until their answers end
};

/// A request, as far as it needs room.
struct room_demand {
    int urgency = 0; ///< 0 is the most urgent
    token_count memory = 0;
};

/// Answers bursts of demand beyond what the engines run at once. A request that has to wait in an engine is
/// late, and an urgent one that waits there displaces a running one, whose prompt is then read again; so does
/// one for which the memory doesn't suffice. The less urgent a request, the more slots it leaves free for
/// urgent ones.
bool has_room(const engine_occupancy& engine, const room_demand& demand);

} // namespace cardamomstream
