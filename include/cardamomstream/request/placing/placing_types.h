/// Plain values of placing: what a request asks of an upstream, and where it is sent.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/version/service_plan/service_plan.h"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cardamomstream {

/// A part of a prompt that other requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    token_count tokens = 0;
};

struct placing_request {
    pool_name service;
    const plan_route* route = nullptr;       ///< never null when placed
    const plan_customer* customer = nullptr; ///< null on routes open to all
    int urgency = 0;                         ///< 0 is the most urgent
    token_count prompt_tokens = 0;
    token_count answer_tokens = 0;       ///< expected, for the engine's memory
    std::vector<prompt_part> parts;      ///< in order; the last one is the request's own
    std::chrono::milliseconds waited{0}; ///< since the caller's request came in
    std::chrono::milliseconds time_left{0};
    std::vector<upstream_name> tried;    ///< not to be chosen again
    std::vector<region_name> refused_by; ///< regions that had no room a moment ago
    bool own_region_only = false;        ///< came from another VM
    bool begun = false;                  ///< sent before, so that a late answer is better than none
};

/// Refusals stand in the order in which a later one is the better reason when several hold.
enum class placing_verdict {
    here,         ///< send to the upstream
    other_region, ///< pass on to a VM of the upstream's region
    no_upstream,  ///< none that the request may use is known
    unreachable,  ///< those that are known have taken no connection a moment ago
    overloaded,   ///< every upstream would answer after the objective
    cold,         ///< the upstreams that are left are cold and have had their requests of this second
};

struct placement {
    placing_verdict verdict = placing_verdict::no_upstream;
    upstream_name upstream;
    endpoint address; ///< of the upstream, or of the VM of its region
    region_name region;
    std::chrono::milliseconds predicted{0};   ///< time to the first byte of the answer
    std::chrono::milliseconds retry_after{0}; ///< set for refusals
    std::uint32_t running = 0;                ///< requests believed to run at the upstream; for logs
};

/// How one send ended, for the upstream's health.
enum class send_outcome {
    answered,    ///< a whole answer that is no failure
    failed,      ///< a whole answer that tells of a failure of the upstream's own
    broken,      ///< no whole answer of an upstream
    unreachable, ///< no connection
    silent,      ///< no byte in time
    rejected,    ///< it said that it did not run the request
    abandoned,   ///< ended by this side; says nothing of the upstream
};

std::string_view to_text(send_outcome outcome) noexcept;
std::string_view to_text(placing_verdict verdict) noexcept;

/// Figures of placing. The speeds are those of the users' sheets; `prediction_scale` corrects them.
struct placing_settings {
    double prompt_tokens_per_ms = 50; ///< read by an engine that also generates, about 3/4 of its rate alone
    double ms_per_million_pairs = 0.63; ///< of attention between a prompt's tokens and those before them
    std::chrono::milliseconds first_event_base{25};   ///< batch step and network of an idle engine
    std::chrono::milliseconds region_round_trip{170}; ///< twice 80 ms between regions, and the hop
    std::chrono::milliseconds data_centre_cost{15};   ///< of an upstream in another one of the region
    std::chrono::milliseconds mean_run_time{1'500};   ///< of a stream; a slot frees each run time / slots
    std::chrono::milliseconds plain_run_time{40};     ///< of a plain call
    token_count tokens_per_step = 1'024; ///< of a prompt that an engine reads between two answer tokens
    double memory_use = 0.92;            ///< part of an engine's memory that is planned with
    double shed_objective = 0.85;        ///< refuse when the prediction passes this part of the objective
    double shed_wait = 0.25;  ///< or, for prompts too long for the objective, when the wait before them does
    double cold_factor = 1.5; ///< times the published rate that a cold upstream may get
    double cold_slack = 3;    ///< requests a second beside it
    std::size_t data_centres_of_region = 1; ///< that share the bound of a cold upstream
};

} // namespace cardamomstream
