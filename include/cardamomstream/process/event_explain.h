/// Tells what was decided for one request.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/event_merge.h"

#include <string>
#include <vector>

namespace cardamomstream {

/// One line for each event of the request over all VMs: the time since its first event, the VM, what it
/// decided, and the details that it decided by. Errors: `not_found`.
result<std::vector<std::string>> explain_request(const std::vector<timeline_entry>& timeline,
                                                 const request_id& request);

} // namespace cardamomstream
