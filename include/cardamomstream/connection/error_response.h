/// Typed errors as HTTP answers.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <string>

namespace cardamomstream {

/// HTTP status of an error kind.
unsigned status_of(error_kind kind) noexcept;

/// The JSON object `{"error": {code, message, remedy, outcome, retry_after_ms?, request_id, ticket?}}`.
std::string error_body(const error& value, const request_id& id, std::string_view ticket = {});

/// The whole answer, with Retry-After (whole seconds, rounded up) where waiting helps.
http_response error_response(const error& value, const request_id& id, std::string_view ticket = {});

} // namespace cardamomstream
