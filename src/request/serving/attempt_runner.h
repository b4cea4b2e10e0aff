/// Runs a request at an upstream or another VM, with retries where they are safe.
#pragma once

#include "answer_meter.h"
#include "request_context.h"

#include "cardamomstream/connection/http_client.h"

#include <functional>
#include <string>

namespace cardamomstream {

/// What is to be run.
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
    token_count max_tokens = 0; ///< largest answer; 0: not counted
};

/// How an attempt that did not fail has ended.
struct attempt_end {
    unsigned status = 200;
    std::string body; ///< set where the answer was kept instead of passed on
    http_response_head head;
};

/// What stands around one attempt of a call that runs at most once.
struct single_run {
    std::function<result<void>()> may_write; ///< asked directly before the first byte
    bool keep_answer = false;                ///< gives the whole answer back instead of passing it on
    std::optional<region_name> region;       ///< where the upstream is reached directly
};

/// The request as it is sent to another VM, one hop further.
forward_request make_forward(const request_context& context, const upstream_work& work);

/// Runs `work` and passes the answer on to the caller. Errors are final answers; where part of an answer was
/// already passed on, the stream has been ended as not whole.
result<attempt_end> run_attempts(request_context& context, const upstream_work& work, answer_meter& meter);

/// Runs `work` once, at an upstream that is reached directly.
result<attempt_end> run_once(request_context& context, const upstream_work& work, const single_run& once);

} // namespace cardamomstream
