/// Metrics of the gateway's request path.
#pragma once

#include "cardamomstream/process/metric_family.h"

#include <string>

#include <prometheus/registry.h>

namespace cardamomstream {

/// All by name; thread safe. Labels are services, regions and fixed words, so that callers can't grow the
/// number of series.
class gateway_metrics {
public:
    gateway_metrics();

    /// Everything in the Prometheus text format.
    std::string render() const;

private:
    prometheus::Registry m_registry; ///< stands before the families, which refer to it

public:
    counter_family<pool_name, std::string> requests; ///< by service and end
    counter_family<std::string> refusals;            ///< by reason
    counter_family<pool_name, std::string> sends;    ///< to upstreams, by outcome
    counter_family<region_name> hops;                ///< passed on to a VM of that region
    counter_family<pool_name> repeats;               ///< sends beyond the first of a request
    duration_family<pool_name> first_byte;           ///< from the request to the first byte of its answer
    duration_family<pool_name> predicted_first_byte; ///< as placing predicted it
    gauge_family<> in_flight;
    gauge_family<> plan_version;
    gauge_family<> vms_heard;
    gauge_family<> upstreams_usable;
    gauge_family<> prediction_scale;
    gauge_family<> log_lines_left_out;
};

} // namespace cardamomstream
