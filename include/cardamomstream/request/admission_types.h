/// Types of admission: queued requests, settings, and retry queries and decisions.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/version/rules_types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cardamomstream {

/// A request waiting for a slot of its pool.
struct queued_request {
    request_id id;
    customer_name customer;
    token_count cost = 1; ///< tokens that an upstream is expected to process for it
    time_point enqueued_at;
    time_point deadline; ///< latest start that can still meet the caller's deadline
};

/// Settings of a pool's queue.
struct fair_queue_settings {
    std::size_t max_requests = 1'000;                    ///< over all customers
    std::size_t max_requests_per_customer = 500;         ///< for each customer
    token_count quantum = 1'000;                         ///< tokens per round at weight 1
    std::chrono::milliseconds rate_time_constant{5'000}; ///< of the decaying average of the service rate
    std::chrono::milliseconds min_observation{250}; ///< busy time before predicted waits may refuse requests
};

/// Settings of one upstream's concurrency limit.
struct concurrency_limit_settings {
    std::uint32_t initial = 4;
    std::uint32_t min = 1;
    std::uint32_t max = 256;
    double tolerance = 2;         ///< ratio of the latency to its minimum above which queueing is assumed
    double decrease_factor = 0.9; ///< of the limit, when queueing is assumed
    std::size_t samples_between_decreases = 8;
    std::chrono::milliseconds baseline_window{30'000}; ///< the minimum covers this and the previous one
    std::chrono::microseconds min_expected{1'000};     ///< below it, the latency is mostly noise
};

/// Settings of the retry budget and policy.
struct retry_settings {
    double fraction = 0.1; ///< retries per request
    double burst = 10;     ///< unused retries that may accumulate
    std::uint32_t max_attempts = 3;
    std::chrono::milliseconds backoff_base{25};
    std::chrono::milliseconds backoff_max{1'000};
};

/// A failed attempt and what decides whether to retry it.
struct retry_query {
    repeat_policy repeat = repeat_policy::idempotent;
    run_outcome outcome = run_outcome::unknown;
    bool answer_begun = false;   ///< a byte of the response was sent to the caller
    bool reached_nobody = false; ///< no byte was sent: one more attempt is no repeat for the upstreams
    std::uint32_t attempts_made = 1;
    time_point deadline;                               ///< of the caller
    std::chrono::milliseconds min_attempt_duration{0}; ///< least duration of one more attempt
};

enum class retry_verdict {
    allowed,
    may_have_run,  ///< not idempotent, and a byte was sent to an upstream
    answer_begun,  ///< part of a response was sent to the caller
    attempts_used, ///< `max_attempts` attempts were made
    deadline_too_near,
    budget_exhausted, ///< too many of the recent requests were retried
};

/// Whether to retry and when. The next attempt chooses its upstream anew.
struct retry_decision {
    retry_verdict verdict = retry_verdict::allowed;
    time_point at; ///< earliest start of the next attempt, if allowed
};

} // namespace cardamomstream
