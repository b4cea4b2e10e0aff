/// Values that routing takes and gives: queries, load reports, choices and the reasons for them.
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

/// Load of one pool in one region as membership last heard it.
struct pool_load_report {
    double in_flight = 0;                    ///< requests that run, over the region's upstreams
    double queued = 0;                       ///< requests that wait, over the region's VMs
    double slots = 0;                        ///< requests that can run side by side
    std::chrono::milliseconds age{0};        ///< age of the figures when handed over
    std::chrono::milliseconds round_trip{0}; ///< from the home region and back
};

using region_loads = std::map<std::pair<region_name, pool_name>, pool_load_report>;

/// Load of one upstream as it published it.
struct upstream_load {
    double in_flight = 0;             ///< requests of all VMs, running or queued there
    std::chrono::milliseconds age{0}; ///< age of the value when handed over
};

/// A live VM of another region that may take a forwarded request.
struct peer_vm {
    vm_name vm;
    region_name region;
};

/// What the router knows of the fleet; the host replaces it as a whole.
struct routing_view {
    rules_snapshot rules;
    vm_list_snapshot list;
    std::vector<peer_vm> peers; ///< live VMs of other regions
    region_loads loads;
    std::map<upstream_name, upstream_load> upstream_loads;
};

/// Who handed the request to this VM.
enum class request_origin { caller, peer };

/// One request to be routed.
struct route_query {
    pool_name pool;
    std::set<region_name> permitted; ///< the customer's residency; empty: every region
    std::uint64_t prefix_digest = 0; ///< of the prompt's prefix (see `prefix_digest_of`); 0: none
    token_count prefix_tokens = 0;   ///< tokens under the digest, at most `prompt_tokens`
    token_count prompt_tokens = 0;
    request_origin origin = request_origin::caller;
    std::uint32_t hop_count = 0;             ///< hops between regions so far
    std::vector<region_name> regions_passed; ///< regions that forwarded it, in order
    std::chrono::milliseconds queue_wait{0}; ///< predicted wait in this VM's queue
    bool may_probe = true;                   ///< may test a suspected upstream (false for `at_most_once`)
    std::set<upstream_name> tried;           ///< upstreams of earlier attempts, avoided where others exist
    std::set<vm_name> tried_peers;           ///< peers of earlier attempts, avoided where others exist
};

/// What to do with the request now.
enum class route_action {
    serve,   ///< send it to `route_choice::upstream`
    wait,    ///< every fit upstream is at its limit: queue it and choose again when a slot is free
    forward, ///< send it to `route_choice::peer` in `route_choice::region`
};

/// Why a request went where it went.
enum class route_reason {
    region_not_permitted,  ///< subject: region
    local_only,            ///< it came from a peer; value: hop count
    upstream_leaving,      ///< subject: upstream
    upstream_suspected,    ///< subject: upstream; value: milliseconds until the next probe
    upstream_at_limit,     ///< subject: upstream; value: own requests in flight
    upstream_tried,        ///< subject: upstream
    probe,                 ///< subject: upstream; the one request that tests a suspected upstream
    all_suspected,         ///< subject: the least recently failed upstream
    slow_start,            ///< subject: upstream; value: share of its slots in use for now
    prefix_affinity,       ///< subject: upstream; value: prompt tokens taken as cached
    lowest_cost,           ///< subject: upstream; value: predicted milliseconds to the first token
    home_meets_target,     ///< value: predicted milliseconds at home
    home_misses_target,    ///< value: predicted milliseconds at home
    region_misses_target,  ///< subject: region; value: predicted milliseconds there
    region_without_data,   ///< subject: region; nothing is known of its load
    link_budget_exhausted, ///< subject: region
    no_peer,               ///< subject: region without a live VM
    sent_away,             ///< subject: region; value: predicted milliseconds there
};

/// Stable code of a reason, such as "prefix_affinity".
std::string_view code_of(route_reason reason) noexcept;

/// One step of a decision, for the `explain` command.
struct route_note {
    route_reason reason = route_reason::lowest_cost;
    std::string subject;
    double value = 0;
};

/// Predicted time to the first token and its parts.
struct route_cost {
    std::chrono::microseconds queue{0};
    std::chrono::microseconds prefill{0};
    std::chrono::microseconds round_trip{0};

    std::chrono::microseconds total() const { return queue + prefill + round_trip; }
};

/// The decision for one request.
struct route_choice {
    route_action action = route_action::serve;
    region_name region;              ///< where it will run
    upstream_name upstream;          ///< set for `serve`
    endpoint address;                ///< of the upstream, set for `serve`
    vm_name peer;                    ///< set for `forward`
    bool probe = false;              ///< tests a suspected upstream
    token_count prefill_tokens = 0;  ///< prompt tokens expected to be computed
    token_count credited_tokens = 0; ///< prompt tokens hoped to be cached
    route_cost cost;
    std::vector<route_note> notes;
};

/// One running attempt; the host keeps it and hands it back with the feedback.
struct route_attempt {
    upstream_name upstream; ///< set for `serve`
    vm_name peer;           ///< set for `forward`
    time_point started;
    token_count prompt_tokens = 0;
    token_count prefill_tokens = 0;
    token_count credited_tokens = 0;
    bool probe = false;
    bool alone = false; ///< no queue was before it, so it measures the prefill rate
    std::optional<time_point> first_byte_at;
};

/// How an attempt failed.
enum class attempt_failure {
    connect,    ///< no connection
    timeout,    ///< silence past a limit
    reset,      ///< the connection broke
    error,      ///< an answer that says the upstream itself is broken
    overloaded, ///< an answer that says it is full: load, not a fault
    cancelled,  ///< the caller left: says nothing about the upstream
};

/// Settings of a router.
struct router_settings {
    std::uint32_t thread_share = 1;      ///< routers in this VM; each gets that part of a link budget
    double load_bound = 1.25;            ///< affinity holds up to this multiple of the mean load
    double default_prefill_rate = 8'000; ///< tokens a second, until measured
    std::chrono::milliseconds default_service_time{2'000};
    std::chrono::milliseconds slow_start{10'000};
    std::chrono::milliseconds suspicion_base{500};
    std::chrono::milliseconds suspicion_max{30'000};
    std::chrono::milliseconds load_max_age{10'000}; ///< older reports are not used
    std::size_t prefixes_per_upstream = 256;        ///< remembered as cached there
    bool affinity = true;
    bool send_away = true;
};

/// Digest of a prompt's prefix (64-bit xxHash). Never 0.
std::uint64_t prefix_digest_of(std::string_view prefix) noexcept;

} // namespace cardamomstream
