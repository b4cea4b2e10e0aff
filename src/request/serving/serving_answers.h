/// Responses that the gateway generates itself.
#pragma once

#include "request_context.h"

#include "cardamomstream/connection/http_types.h"

namespace cardamomstream {

/// GET /v1/entry: the VMs of the regions that the customer's residency permits, those of this VM's region
/// first; with a key also a ticket for each at-most-once route that the customer may use.
http_response entry_response(request_context& context);

/// GET /v1/models: the models that the customer may use.
http_response models_response(const request_context& context);

} // namespace cardamomstream
