/// Types of request placement: what a request needs from an upstream, and where it is sent.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/version/service_plan/service_plan.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstream {

/// A section of a prompt that other requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    token_count tokens = 0;
};

/// A request to be placed.
struct placing_request {
    pool_name service;
    const plan_route* route = nullptr;       ///< never null when placed
    const plan_customer* customer = nullptr; ///< null on routes open to all
    residency newer_homes; ///< by a plan that came into force since; binds beside `route` and `customer`
    int urgency = 0;       ///< 0 is the most urgent
    token_count prompt_tokens = 0;
    token_count answer_tokens = 0;       ///< expected; used to estimate the engine memory
    std::vector<prompt_part> parts;      ///< in order; the last one is not shared with other requests
    std::chrono::milliseconds waited{0}; ///< since the caller's request arrived
    std::chrono::milliseconds time_left{0};
    std::vector<upstream_name> tried;    ///< excluded because they were tried before
    std::vector<region_name> refused_by; ///< regions that have just refused the request
    std::vector<endpoint> tried_vms;     ///< VMs of this region to which it was passed on before
    /// Of the upstream's software; set for a stream that has begun.
    std::optional<std::string> version;
    bool own_region_only = false; ///< set for a request that another VM passed on
    bool sent_before = false;     ///< it is placed even if the answer would be late

    /// True when the homes permit the region, by each plan that binds the request.
    bool may_run_in(const region_name& region) const
    {
        return residency{route, customer}.permits(region) && newer_homes.permits(region);
    }
};

/// The refusals are ordered: when several apply, the last one is given as the reason.
enum class placing_verdict {
    here,         ///< send to an upstream of this VM's region
    other_vm,     ///< pass on to another VM of this region, which reaches the upstream
    other_region, ///< pass on to a VM of the upstream's region
    no_upstream,  ///< no upstream is known that the request may use
    unreachable,  ///< the known upstreams have just failed to accept a connection
    overloaded,   ///< every upstream would answer too late for the objective
    cold,         ///< the remaining upstreams are cold and at their limit of requests per second
    limited,      ///< the remaining upstreams have been sent all that their stated limits allow
    paused,       ///< the remaining upstreams have asked this VM for a pause
};

/// Result of placing a request.
struct placement {
    placing_verdict verdict = placing_verdict::no_upstream;
    upstream_name upstream;
    endpoint address;                   ///< of the upstream, or of a VM of its region
    std::optional<std::string> version; ///< of the upstream's software; empty while it isn't certain
    std::int64_t started_unix_ms = 0;   ///< of the upstream's process, as it is listed
    region_name region;
    std::chrono::milliseconds predicted{0};   ///< time until the first byte of the answer
    std::chrono::milliseconds retry_after{0}; ///< set for refusals
    std::uint32_t running = 0;                ///< estimated requests running at the upstream; for logs
};

/// How one send to an upstream ended; input to the upstream's health.
enum class send_outcome {
    answered,    ///< a complete answer that is not a failure
    failed,      ///< a complete answer that reports a failure of the upstream itself
    broken,      ///< no complete answer from the upstream
    unreachable, ///< no connection
    silent,      ///< no byte within the time limit
    rejected,    ///< the upstream stated that it did not run the request
    abandoned,   ///< ended by this side; does not count for the health of the upstream
};

std::string_view to_text(send_outcome outcome) noexcept;
std::string_view to_text(placing_verdict verdict) noexcept;

/// Parameters of placement. The speeds come from the users' deployment sheets and are corrected at run time
/// by fleet_load::prediction_scale().
struct placing_settings {
    /// Prefill rate of an engine that also generates, about 3/4 of its rate without.
    double prompt_tokens_per_ms = 50;
    /// Attention cost per million pairs of a prompt token and an earlier token.
    double attention_ms_per_million_pairs = 0.63;
    std::chrono::milliseconds first_event_base{25};   ///< batch step and network delay of an idle engine
    std::chrono::milliseconds region_round_trip{170}; ///< twice 80 ms between the regions, plus the extra hop
    std::chrono::milliseconds vm_round_trip{10};      ///< for another VM of the region
    std::chrono::milliseconds data_centre_cost{15};   ///< for another data centre of the region
    std::chrono::milliseconds mean_run_time{1'500};   ///< of a stream; slots free up every mean / slots
    std::chrono::milliseconds plain_run_time{40};     ///< of a call that is not a stream
    token_count prefill_chunk_tokens = 1'024;         ///< prefilled by an engine between two answer tokens
    std::chrono::duration<double, std::milli> token_time{
        6};                               ///< of a busy engine, for a token of all its streams
    double usable_memory_fraction = 0.92; ///< fraction of an engine's memory that requests may fill
    double max_objective_fraction = 0.85; ///< a prediction above this fraction of the objective is refused
    double max_wait_fraction = 0.25; ///< the same for the wait before a prompt too long for the objective
    double cold_factor = 1.5;        ///< multiple of the published rate that a cold upstream may get
    double cold_slack = 3;           ///< requests per second in addition
    std::size_t data_centres_of_region = 1; ///< data centres that share the limit of a cold upstream
};

} // namespace cardamomstream
