/// Maps requests to endpoints of the gateway and routes of the rules.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/version/rules_types.h"

#include <string>
#include <variant>

namespace cardamomstream {

struct entry_target {};  ///< GET /v1/entry
struct models_target {}; ///< GET /v1/models
struct model_target {};  ///< POST /v1/chat/completions

/// A route to a service other than a model.
struct route_target {
    route_name name;
    const route_rule* rule = nullptr; ///< points into the rules passed to `find_target`
    std::string target;               ///< normalised path and query
};

using request_target = std::variant<entry_target, models_target, model_target, route_target>;

/// Finds the target of a request; of several matching routes, the one with the longest path. Paths that an
/// upstream could interpret differently (dot segments, empty segments, an encoded slash) are refused.
/// Errors: invalid_request, not_found.
result<request_target> find_target(const http_request& request, const rules& published);

/// Whether the customer may use a resource restricted to `allowed` (empty: open to all customers).
bool may_use(const std::set<customer_name>& allowed, const customer_name& customer);

} // namespace cardamomstream
