/// Publishes what the control thread knows to the traffic threads.
#pragma once

#include "control_state.h"

namespace cardamomstream {

/// Builds a new view and gives it to the traffic threads, the dispatcher and the allowance.
void publish_view(control_state& state);

/// Gives the dispatcher the present loads of the regions.
void publish_loads(control_state& state);

} // namespace cardamomstream
