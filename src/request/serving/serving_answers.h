/// Answers that the gateway makes itself.
#pragma once

#include "request_context.h"

#include "cardamomstream/connection/http_types.h"

namespace cardamomstream {

/// GET /v1/entry: the VMs of the regions that the customer's residency permits, those of its region first,
/// and with a key a ticket for each route that runs a call at most once.
http_response entry_answer(request_context& context);

/// GET /v1/models: the models that the customer may use.
http_response models_answer(const request_context& context);

} // namespace cardamomstream
