/// Who calls, and whether the key stays with the gateway.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/process/fleet_view.h"

#include <optional>
#include <string_view>

namespace cardamomstream {

/// The customer behind a request. Holds the digest of its key, never the key.
struct caller_identity {
    customer_name customer;
    key_digest digest{};
};

/// Reads `Authorization: Bearer KEY`. Empty when the request carries no Authorization header.
/// Errors: unauthenticated (unknown or withdrawn key, another scheme, two headers), invalid_request (the key
/// stands in the target or the body too, from where it would reach an upstream).
result<std::optional<caller_identity>> authenticate(const http_request& request, const fleet_view& view);

/// Headers of a request that go on to an upstream; none of them holds the key.
std::vector<http_header> upstream_headers(const http_request& request, const request_id& id);

/// Headers of an upstream's answer that go on to the caller.
std::vector<http_header> caller_headers(const std::vector<http_header>& headers, const request_id& id);

} // namespace cardamomstream
