/// Metrics of the gateway's request path.
#pragma once

#include "cardamomstream/process/metric_family.h"

#include <string>

#include <prometheus/registry.h>

namespace cardamomstream {

/// Thread safe. Labels are services, regions and fixed words, so that callers can't increase the number of
/// time series.
class gateway_metrics {
public:
    gateway_metrics();

    /// All metrics in the Prometheus text format.
    std::string render() const;

private:
    prometheus::Registry m_registry; ///< declared before the families, which refer to it

public:
    counter_family<pool_name, std::string> requests; ///< by service and how they ended
    counter_family<std::string> refusals;            ///< by reason
    /// Callers' connections that ended before a request was read, by reason.
    counter_family<std::string> unserved_connections;
    counter_family<> empty_entry_answers;         ///< to callers for whom no VM was found
    counter_family<pool_name, std::string> sends; ///< to upstreams, by outcome
    counter_family<region_name> hops;             ///< requests passed on to a VM of the region
    counter_family<pool_name> repeats;            ///< sends of a request after the first
    /// Answers to the resumption of a begun stream, by what came of them.
    counter_family<pool_name, std::string> resumptions;
    /// Callers who take up a stream of which it isn't known where it began, by reason.
    counter_family<pool_name, std::string> unknown_origins;
    counter_family<pool_name> incomplete_streams; ///< that an upstream ended inside an event
    counter_family<pool_name> limit_statements;   ///< changes of a limit that an upstream states
    counter_family<pool_name> foreign_answers;    ///< that can't be shown to be to the request sent
    counter_family<pool_name> upstream_ends;      ///< processes that ended while they answered
    /// Answers given up while their connection was open, by whether the caller had a part of them.
    counter_family<pool_name, std::string> runs_left;
    counter_family<pool_name> hedges; ///< second runs of idempotent calls whose upstream is silent
    counter_family<std::string> store_restorations; ///< eras of the store that began, by part
    /// Sizes of the datagrams between VMs, by direction ("sent", "received") and kind ("report", "summary",
    /// "changes" of the store, "origins" of streams).
    counter_family<std::string, std::string> report_bytes;
    duration_family<pool_name> first_byte; ///< from a request's arrival to the first byte of its answer
    duration_family<pool_name> predicted_first_byte; ///< as predicted when the request was placed
    gauge_family<> in_flight;
    gauge_family<> body_bytes;   ///< memory in use for bodies of requests
    gauge_family<> answer_bytes; ///< memory in use for buffered answers
    gauge_family<> plan_version;
    gauge_family<> vms_reporting;
    gauge_family<> upstreams_usable;
    gauge_family<> links_lost;           ///< 1 while no upstream of the region can be reached
    gauge_family<> parts_quarantined;    ///< prompt parts that are refused
    gauge_family<> requests_quarantined; ///< requests that are refused, by path, caller and body
    gauge_family<> prediction_scale;
    gauge_family<> log_lines_left_out;
};

} // namespace cardamomstream
