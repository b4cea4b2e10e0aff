/// Runs a request at an upstream or on another VM, with retries where they are safe.
#pragma once

#include "answer_meter.h"
#include "request_context.h"

#include "cardamomstream/connection/http_client.h"

#include <functional>
#include <string>

namespace cardamomstream {

/// A request to run at an upstream of a pool.
struct upstream_work {
    pool_name pool;
    route_name route; ///< empty for model calls
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    repeat_policy repeat = repeat_policy::idempotent;
    token_count cost = 1;
    std::uint64_t prefix_digest = 0;
    token_count prefix_tokens = 0;
    token_count prompt_tokens = 0;
    token_count max_tokens = 0; ///< largest response; 0: tokens are not counted
};

/// Result of a successful attempt.
struct attempt_result {
    unsigned status = 200;
    std::string body; ///< set if the response was buffered instead of relayed
    http_response_head head;
};

/// Options for the single attempt of an at-most-once call.
struct single_attempt_options {
    std::function<result<void>()> before_write; ///< called directly before the first byte is sent
    bool keep_answer = false;                   ///< returns the complete response instead of relaying it
    std::optional<region_name> region;          ///< region of the upstream, which is reached directly
};

/// Builds the request that forwards `work` to another VM, with the hop count increased by one.
forward_request make_forward(const request_context& context, const upstream_work& work);

/// Runs `work` and relays the response to the caller. Errors are final; if part of the response was already
/// relayed, the stream is still open and has to be ended by `abort_stream`.
result<attempt_result> run_attempts(request_context& context, const upstream_work& work, answer_meter& meter);

/// Runs `work` once, at an upstream that is reached directly, and returns the response.
result<attempt_result> run_once(request_context& context, const upstream_work& work,
                                const single_attempt_options& options);

} // namespace cardamomstream
