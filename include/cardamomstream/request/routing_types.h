/// Types of the routing interface: queries, load reports, choices and their reasons.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/version/rules_types.h"
#include "cardamomstream/version/vm_list_types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomstream {

/// Load of one pool in one region, from the last report that membership received.
struct pool_load_report {
    double in_flight = 0;                    ///< running requests, summed over the region's upstreams
    double queued = 0;                       ///< waiting requests, summed over the region's VMs
    double slots = 0;                        ///< requests that can run concurrently
    std::chrono::milliseconds age{0};        ///< age of the measurement when passed to the router
    std::chrono::milliseconds round_trip{0}; ///< between the home region and this one
};

using region_loads = std::map<std::pair<region_name, pool_name>, pool_load_report>;

/// Load of one upstream, as last published.
struct upstream_load {
    double in_flight = 0;             ///< running and queued requests of all VMs
    std::chrono::milliseconds age{0}; ///< age of the measurement when passed to the router
};

/// A live VM of another region, a target for forwarded requests.
struct peer_vm {
    vm_name vm;
    region_name region;
};

/// The router's view of the fleet, always replaced as a whole.
struct routing_view {
    rules_snapshot rules;
    vm_list_snapshot list;
    std::vector<peer_vm> peers; ///< live VMs of other regions
    region_loads loads;
    std::map<upstream_name, upstream_load> upstream_loads;
};

/// Who sent the request to this VM.
enum class request_origin { caller, peer };

/// One request to be routed.
struct route_query {
    pool_name pool;
    std::set<region_name> permitted; ///< by the customer's residency; empty permits every region
    std::uint64_t prefix_digest = 0; ///< of the prompt's prefix (see `prefix_digest_of`); 0 for none
    token_count prefix_tokens = 0;   ///< length of that prefix, at most `prompt_tokens`
    token_count prompt_tokens = 0;
    request_origin origin = request_origin::caller;
    std::uint32_t hop_count = 0;             ///< times it was forwarded between regions
    std::vector<region_name> regions_passed; ///< regions that forwarded it, in order of forwarding
    std::chrono::milliseconds queue_wait{0}; ///< predicted wait in this VM's queue
    bool may_probe = true; ///< may be sent to a suspected upstream to test it (false for `at_most_once`)
    std::set<upstream_name> tried; ///< upstreams of earlier attempts, avoided if there are others
    std::set<vm_name> tried_peers; ///< peers of earlier attempts, avoided if there are others
};

/// What to do with the request now.
enum class route_action {
    serve,   ///< send it to `route_choice::upstream`
    wait,    ///< every eligible upstream is at its limit: queue it and choose again when a slot is free
    forward, ///< send it to `route_choice::peer` in `route_choice::region`
};

/// Reasons for a routing decision. The comments give the subject and the value of the `route_note`.
enum class route_reason {
    region_not_permitted,  ///< subject: region
    local_only,            ///< forwarded by a peer, so not forwarded again; value: hop count
    upstream_leaving,      ///< subject: upstream
    upstream_suspected,    ///< subject: upstream; value: milliseconds until the next probe
    upstream_at_limit,     ///< subject: upstream; value: own requests in flight
    upstream_tried,        ///< subject: upstream
    probe,                 ///< subject: suspected upstream that this request tests
    all_suspected,         ///< subject: upstream whose last failure is the oldest
    slow_start,            ///< subject: upstream; value: fraction of its slots usable during slow start
    prefix_affinity,       ///< subject: upstream; value: prompt tokens assumed to be cached
    lowest_cost,           ///< subject: upstream; value: predicted milliseconds to the first token
    home_meets_target,     ///< value: predicted milliseconds at home
    home_misses_target,    ///< value: predicted milliseconds at home
    region_misses_target,  ///< subject: region; value: predicted milliseconds there
    region_without_data,   ///< subject: region without a recent load report
    link_budget_exhausted, ///< subject: region
    no_peer,               ///< subject: region without a live VM
    sent_away,             ///< subject: region; value: predicted milliseconds there
};

/// Stable code of a reason, such as "prefix_affinity".
std::string_view code_of(route_reason reason) noexcept;

/// One reason with its subject and value, for the `explain` command.
struct route_note {
    route_reason reason = route_reason::lowest_cost;
    std::string subject;
    double value = 0;
};

/// Predicted time to first token, by component.
struct route_cost {
    std::chrono::microseconds queue{0};
    std::chrono::microseconds prefill{0};
    std::chrono::microseconds round_trip{0};

    std::chrono::microseconds total() const { return queue + prefill + round_trip; }
};

/// The decision for one request.
struct route_choice {
    route_action action = route_action::serve;
    region_name region;                     ///< in which the request will run
    upstream_name upstream;                 ///< set for `serve`
    endpoint address;                       ///< of the upstream, set for `serve`
    vm_name peer;                           ///< set for `forward`
    bool probe = false;                     ///< the request tests a suspected upstream
    token_count prefill_tokens = 0;         ///< prompt tokens that the upstream is expected to compute
    token_count expected_cached_tokens = 0; ///< prompt tokens that the upstream may have cached
    route_cost cost;
    std::vector<route_note> notes;
};

/// One running attempt. The caller of the router keeps it and passes it to `first_byte`, `finished` or
/// `failed`.
struct route_attempt {
    upstream_name upstream; ///< set for `serve`
    vm_name peer;           ///< set for `forward`
    time_point started;
    token_count prompt_tokens = 0;
    token_count prefill_tokens = 0;
    token_count expected_cached_tokens = 0;
    bool probe = false;
    bool prefilled_at_once = false; ///< not queued, so its latency measures the prefill rate
    std::optional<time_point> first_byte_at;
};

/// How an attempt failed.
enum class attempt_failure {
    connect,    ///< no connection
    timeout,    ///< no data within a time limit
    reset,      ///< the connection broke
    error,      ///< a response that reports a fault of the upstream
    overloaded, ///< a response that reports full load; not a fault
    cancelled,  ///< the caller disconnected; says nothing about the upstream
};

/// Settings of a router.
struct router_settings {
    std::uint32_t routers_per_vm = 1;    ///< each router gets an equal share of the VM's link budgets
    double affinity_load_bound = 1.25;   ///< prefix affinity applies up to this multiple of the mean load
    double default_prefill_rate = 8'000; ///< tokens per second, until measured
    std::chrono::milliseconds default_service_time{2'000};
    std::chrono::milliseconds slow_start{10'000};
    std::chrono::milliseconds suspicion_base{500};
    std::chrono::milliseconds suspicion_max{30'000};
    std::chrono::milliseconds load_max_age{10'000}; ///< older load reports are ignored
    std::size_t prefixes_per_upstream = 256;        ///< most recently sent prefixes that count as cached
    bool affinity = true;
    bool send_away = true;
};

/// 64-bit XXH3 hash of a prompt's prefix. Never 0, which stands for no prefix.
std::uint64_t prefix_digest_of(std::string_view prefix) noexcept;

} // namespace cardamomstream
