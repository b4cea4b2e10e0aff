/// Sets up the process's log.
#pragma once

#include "cardamomstream/process/settings_types.h"

namespace cardamomstream {

/// Writes to standard error, as text or as one JSON object a line.
void set_up_log(const settings& config);

} // namespace cardamomstream
