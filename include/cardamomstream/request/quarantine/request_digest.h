/// Identifies requests that are the same.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/core_types.h"

#include <cstdint>

namespace cardamomstream {

/// Digest of a request's method, path, caller and body, the same at all VMs. The query counts only without a
/// body, since it then is the content. `customer`: empty on routes open to all.
std::uint64_t request_digest_of(const http_request& request, const customer_name& customer);

} // namespace cardamomstream
