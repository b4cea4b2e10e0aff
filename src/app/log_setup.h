/// Sets up the process's log.
#pragma once

#include "cardamomstream/process/settings_types.h"

namespace cardamomstream {

/// Writes to standard error, as text or as one JSON object a line.
void set_up_log(const settings& config);

/// Log of a node: one JSON object a line on standard output. A reader that does not keep up loses lines,
/// which are counted; it never holds the process up.
void set_up_node_log(const vm_name& vm);

} // namespace cardamomstream
