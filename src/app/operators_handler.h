/// The operators' listener: /healthz, /readyz, /metrics and /events.
#pragma once

#include "cardamomstream/connection/http_server.h"
#include "cardamomstream/process/event_log.h"
#include "cardamomstream/request/serving_parts.h"

namespace cardamomstream {

/// Answers operators' requests. `parts` and `log` outlive the handler.
request_handler operators_handler(serving_parts& parts, event_log& log);

} // namespace cardamomstream
