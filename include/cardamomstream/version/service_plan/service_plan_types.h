/// Plain values of a service plan: the routes, services and customers that one published version allows.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// How often the calls of a route may run.
enum class call_kind {
    idempotent,   ///< may run more than once
    at_most_once, ///< one run for each request
    stream,       ///< answered by a series of events; at most once unless the route is resumable
};

/// One of the services among which a route divides its requests.
struct service_share {
    pool_name service;
    double weight = 1;
};

struct plan_route {
    route_name name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    call_kind kind = call_kind::at_most_once;
    std::chrono::milliseconds timeout{0};             ///< longest time to an answer; 0: none
    std::chrono::milliseconds latency_objective{0};   ///< to the answer, for streams to the first event
    std::chrono::milliseconds event_gap_objective{0}; ///< longest pause between two events
    int priority = 0;                                 ///< 0 is the most urgent
    std::vector<service_share> services;
    std::uint32_t max_attempts = 1;        ///< upstreams on which one request may run
    bool open_to_all = false;              ///< needs no key
    bool resumable = false;                ///< a stream that may go on at another upstream
    std::vector<region_name> home_regions; ///< empty: any region

    bool repeatable() const noexcept
    {
        return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
    }
};

/// What is published of the model engines of a service.
struct engine_traits {
    std::uint32_t batch = 1;       ///< requests that run at once
    token_count memory_tokens = 0; ///< KV cache, shared by running requests and cached prompt parts
    std::uint32_t tokens_per_event = 1;
};

struct plan_service {
    pool_name name;
    std::size_t max_connections = 0; ///< of one upstream, over all VMs
    std::chrono::milliseconds cold_time{0};
    double cold_requests_per_second = 0; ///< that a cold upstream bears; 0: no bound
    std::optional<engine_traits> engine; ///< empty for plain services
};

/// A customer's allowance over the whole fleet.
struct customer_allowance {
    bool limited = false;
    bool counts_tokens = false; ///< else requests
    double rate_per_second = 0;
    double burst = 0;
    token_count plain_tokens = 0; ///< charge of a request that states no tokens
};

struct plan_customer {
    customer_name name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the route's
    customer_allowance allowance;
    std::vector<region_name> home_regions; ///< empty: any region
};

/// What callers may send, and how long they may take. Empty where the plan states no limit.
struct caller_limits {
    std::optional<std::uint32_t> max_header_bytes;
    std::optional<std::uint64_t> max_body_bytes;
    std::optional<std::chrono::milliseconds> header_timeout;
    std::optional<std::chrono::milliseconds> idle_timeout; ///< between two requests of one connection
};

struct service_plan_document {
    version_number version = 0;
    caller_limits limits;
    std::vector<plan_route> routes;
    std::vector<plan_service> services;
    std::vector<plan_customer> customers;
};

} // namespace cardamomstream
