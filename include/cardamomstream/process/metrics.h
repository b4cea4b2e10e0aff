/// The metrics of one gateway process.
#pragma once

#include "cardamomstream/process/metric_family.h"
#include "cardamomstream/process/metrics_types.h"

#include <string>

#include <prometheus/registry.h>

namespace cardamomstream {

/// All metrics by name. Thread-safe. A customer or pool passed as a label must be one of the rules, so that
/// callers cannot grow the number of series.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;
    ~metrics() = default;

    /// Everything in the Prometheus text format, version 0.0.4.
    std::string render() const;

private:
    prometheus::Registry m_registry; ///< stands before the families, which refer to it

public:
    counter_family<customer_name, request_end> requests;
    counter_family<error_kind> refusals;
    counter_family<customer_name> tokens; ///< prompt and answer, as received by the customer
    counter_family<region_name, region_name> sent_away;
    duration_family<pool_name> first_token_latency;
    duration_family<pool_name> total_latency;
    gauge_family<> requests_in_flight;
    gauge_family<pool_name> queue_length;
    counter_family<loan_step> loans;
    counter_family<ticket_step> tickets;
    gauge_family<> configuration_version;
    gauge_family<> configuration_age; ///< since the version in force was last confirmed
    counter_family<platform_service> platform_reads;
    counter_family<peer_direction> peer_rpcs;
    counter_family<peer_direction> peer_bytes;
};

} // namespace cardamomstream
