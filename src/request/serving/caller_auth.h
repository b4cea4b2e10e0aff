/// Authenticates callers by their key and keeps the key from reaching upstreams.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/process/fleet_view.h"

#include <optional>
#include <string_view>

namespace cardamomstream {

/// The customer that sent a request. Holds the digest of its key, never the key.
struct caller_identity {
    customer_name customer;
    key_digest digest{};
};

/// Reads `Authorization: Bearer KEY`. Empty when the request carries no Authorization header.
/// Errors: unauthenticated (unknown or withdrawn key, another scheme, two headers), invalid_request (the
/// target or body contains the key as well, so that an upstream would receive it).
result<std::optional<caller_identity>> authenticate(const http_request& request, const fleet_view& view);

/// The request headers that are passed to an upstream; none of them contains the key.
std::vector<http_header> upstream_headers(const http_request& request, const request_id& id);

/// Head of an upstream's response for the caller, with those headers that are passed on.
http_response_head caller_head(const http_response_head& head, const request_id& id);

} // namespace cardamomstream
