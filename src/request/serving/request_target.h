/// What a request asks for.
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

/// A route to a plain service.
struct route_target {
    route_name name;
    const route_rule* rule = nullptr; ///< of the rules that were asked
    std::string target;               ///< normalised path and query
};

using request_target = std::variant<entry_target, models_target, model_target, route_target>;

/// Finds the target; of several routes the one with the longest path. A path that an upstream
/// could read as another one (dot segments, empty segments, an encoded slash) is refused.
/// Errors: invalid_request, not_found.
result<request_target> find_target(const http_request& request, const rules& published);

/// Whether the customer may use something that the rules open to `allowed` (empty: all).
bool may_use(const std::set<customer_name>& allowed, const customer_name& customer);

} // namespace cardamomstream
