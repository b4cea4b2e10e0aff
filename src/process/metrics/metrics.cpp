#include "cardamomstream/process/metrics.h"

#include <chrono>
#include <sstream>
#include <vector>

#include <prometheus/text_serializer.h>

namespace cardamomstream {
namespace {

using bucket_bounds = std::vector<std::chrono::milliseconds>;

/// Bounds around the target for the first token, 720 ms.
const bucket_bounds& first_token_bounds()
{
    using namespace std::chrono_literals;
    static const bucket_bounds bounds{10ms,  25ms,  50ms,  100ms,  200ms,  300ms,  450ms,
                                      600ms, 720ms, 900ms, 1200ms, 2000ms, 5000ms, 10000ms};
    return bounds;
}

const bucket_bounds& total_bounds()
{
    using namespace std::chrono_literals;
    static const bucket_bounds bounds{10ms, 50ms, 100ms, 250ms, 500ms, 1s,   2s,
                                      5s,   10s,  20s,   40s,   80s,   160s, 320s};
    return bounds;
}

} // namespace

metrics::metrics()
    : requests(m_registry,
               {"cardamomstream_requests_total", "Requests by how they ended.", {"customer", "end"}})
    , refusals(m_registry, {"cardamomstream_refusals_total", "Refusals by error code.", {"code"}})
    , tokens(m_registry, {"cardamomstream_tokens_total", "Tokens received by the customer.", {"customer"}})
    , sent_away(m_registry, {"cardamomstream_requests_sent_away_total",
                             "Requests sent from one region to another.",
                             {"from", "to"}})
    , first_token_latency(
          m_registry,
          {"cardamomstream_first_token_seconds", "Time from the request to the first token.", {"pool"}},
          first_token_bounds())
    , total_latency(
          m_registry,
          {"cardamomstream_request_seconds", "Time from the request to the end of the answer.", {"pool"}},
          total_bounds())
    , requests_in_flight(m_registry, {"cardamomstream_requests_in_flight", "Requests being served.", {}})
    , queue_length(m_registry,
                   {"cardamomstream_queue_length", "Requests that wait for an upstream.", {"pool"}})
    , loans(m_registry, {"cardamomstream_loans_total", "Loans of allowance by step.", {"step"}})
    , tickets(m_registry, {"cardamomstream_tickets_total", "At-most-once tickets by step.", {"step"}})
    , configuration_version(m_registry,
                            {"cardamomstream_configuration_version", "Version of the rules in force.", {}})
    , configuration_age(m_registry, {"cardamomstream_configuration_age_seconds",
                                     "Time since the version in force was last confirmed.",
                                     {}})
    , platform_reads(m_registry, {"cardamomstream_platform_reads_total",
                                  "Reads of the platform's services, a waiting watch counted as one.",
                                  {"service"}})
    , peer_rpcs(m_registry, {"cardamomstream_peer_rpcs_total", "Calls between VMs.", {"direction"}})
    , peer_bytes(m_registry, {"cardamomstream_peer_bytes_total", "Payload bytes between VMs.", {"direction"}})
{
}

std::string metrics::render() const
{
    std::ostringstream text;
    prometheus::TextSerializer{}.Serialize(text, m_registry.Collect());
    return text.str();
}

} // namespace cardamomstream
