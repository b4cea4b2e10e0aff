/// Values of admission: queued requests, what they are told when refused, retry and hedge questions.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/version/rules_types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cardamomstream {

/// A request that waits for a slot of its pool.
struct queued_request {
    request_id id;
    customer_name customer;
    token_count cost = 1; ///< tokens it is expected to take of an upstream
    time_point enqueued_at;
    time_point deadline; ///< latest start that can still meet the caller's deadline
};

/// Settings of a pool's queue.
struct fair_queue_settings {
    std::size_t max_requests = 1'000;               ///< over all customers
    std::size_t max_requests_per_customer = 500;    ///< of one customer
    token_count quantum = 1'000;                    ///< tokens a round for weight 1
    std::chrono::milliseconds rate_memory{5'000};   ///< time over which the service rate is averaged
    std::chrono::milliseconds min_observation{250}; ///< busy time before a prediction may refuse
};

/// Settings of one upstream's concurrency limit.
struct concurrency_limit_settings {
    std::uint32_t initial = 4;
    std::uint32_t min = 1;
    std::uint32_t max = 256;
    double tolerance = 2;                            ///< latency over its minimum that counts as queueing
    double decrease = 0.9;                           ///< factor when it does
    std::size_t samples_wait = 8;                    ///< samples between two decreases
    std::chrono::milliseconds min_memory{30'000};    ///< age at which the minimum is forgotten
    std::chrono::microseconds least_expected{1'000}; ///< below this the latency is all noise
};

/// Settings of the retry budget and policy.
struct retry_settings {
    double fraction = 0.1; ///< retries per request
    double burst = 10;     ///< retries that may be saved up
    std::uint32_t max_attempts = 3;
    std::chrono::milliseconds backoff_base{25};
    std::chrono::milliseconds backoff_max{1'000};
};

/// An attempt that failed, and what may be done about it.
struct retry_query {
    repeat_policy repeat = repeat_policy::idempotent;
    run_outcome outcome = run_outcome::unknown;
    bool answer_begun = false; ///< some byte of the answer has gone to the caller
    std::uint32_t attempts_made = 1;
    time_point deadline;                           ///< of the caller
    std::chrono::milliseconds shortest_attempt{0}; ///< time that one more attempt takes at least
};

enum class retry_verdict {
    allowed,
    may_have_run,  ///< not idempotent, and some byte left for an upstream
    answer_begun,  ///< the caller already reads an answer
    attempts_used, ///< `max_attempts` made
    deadline_too_near,
    budget_exhausted, ///< too many retries among recent requests
};

/// Whether to try again and when. The next attempt resolves its candidates anew.
struct retry_decision {
    retry_verdict verdict = retry_verdict::allowed;
    time_point at; ///< earliest start of the next attempt, set when allowed
};

} // namespace cardamomstream
