#include "cardamomstream/request/gateway/gateway_metrics.h"

#include <sstream>

#include <prometheus/text_serializer.h>

namespace cardamomstream {

namespace {

const std::vector<std::chrono::milliseconds>& first_byte_bounds()
{
    using namespace std::chrono_literals;
    static const std::vector<std::chrono::milliseconds> bounds{25ms,  50ms,  100ms,  200ms,  400ms,
                                                               600ms, 800ms, 1200ms, 2000ms, 4000ms};
    return bounds;
}

} // namespace

gateway_metrics::gateway_metrics()
    : requests(m_registry, {"cardamomstream_gateway_requests_total", "Requests by end.", {"service", "end"}})
    , refusals(m_registry, {"cardamomstream_gateway_refusals_total", "Refusals by reason.", {"reason"}})
    , unserved_connections(m_registry, {"cardamomstream_gateway_unserved_connections_total",
                                        "Connections that ended before a request was read, by reason.",
                                        {"reason"}})
    , empty_entry_answers(m_registry, {"cardamomstream_gateway_empty_entry_answers_total",
                                       "Answers to callers for whom no VM was found.",
                                       {}})
    , sends(m_registry, {"cardamomstream_gateway_sends_total", "Sends by outcome.", {"service", "outcome"}})
    , hops(m_registry, {"cardamomstream_gateway_hops_total", "Requests passed on, by region.", {"region"}})
    , repeats(m_registry, {"cardamomstream_gateway_repeats_total", "Further sends.", {"service"}})
    , resumptions(m_registry, {"cardamomstream_gateway_stream_resumptions_total",
                               "Answers to the resumption of a begun stream, by outcome.",
                               {"service", "outcome"}})
    , unknown_origins(m_registry, {"cardamomstream_gateway_unknown_stream_origins_total",
                                   "Resumed streams of which it isn't known where they began, by reason.",
                                   {"service", "reason"}})
    , incomplete_streams(m_registry, {"cardamomstream_gateway_incomplete_streams_total",
                                      "Streams that an upstream ended inside an event.",
                                      {"service"}})
    , limit_statements(m_registry, {"cardamomstream_gateway_limit_statements_total",
                                    "Changes of a request limit that an upstream states.",
                                    {"service"}})
    , foreign_answers(m_registry, {"cardamomstream_gateway_foreign_answers_total",
                                   "Answers that can't be shown to be to the request that was sent.",
                                   {"service"}})
    , upstream_ends(m_registry, {"cardamomstream_gateway_upstream_ends_total",
                                 "Sends under which the process of an upstream ended.",
                                 {"service"}})
    , runs_left(m_registry, {"cardamomstream_gateway_runs_left_total",
                             "Silent answers given up to send the request elsewhere.",
                             {"service", "begun"}})
    , hedges(m_registry, {"cardamomstream_gateway_hedges_total",
                          "Second runs of idempotent calls whose upstream is silent.",
                          {"service"}})
    , store_restorations(m_registry, {"cardamomstream_gateway_store_restorations_total",
                                      "Times that the store was found restored from an older copy, by part.",
                                      {"part"}})
    , report_bytes(m_registry, {"cardamomstream_gateway_report_bytes_total",
                                "Bytes of datagrams between VMs, by direction and kind.",
                                {"direction", "kind"}})
    , first_byte(m_registry,
                 {"cardamomstream_gateway_first_byte_seconds", "Time to the first byte.", {"service"}},
                 first_byte_bounds())
    , predicted_first_byte(m_registry,
                           {"cardamomstream_gateway_predicted_first_byte_seconds",
                            "Time to the first byte as predicted.",
                            {"service"}},
                           first_byte_bounds())
    , in_flight(m_registry, {"cardamomstream_gateway_in_flight", "Requests being served.", {}})
    , body_bytes(m_registry,
                 {"cardamomstream_gateway_body_bytes", "Memory in use for bodies of requests.", {}})
    , answer_bytes(m_registry,
                   {"cardamomstream_gateway_answer_bytes", "Memory in use for buffered answers.", {}})
    , plan_version(m_registry, {"cardamomstream_gateway_plan_version", "Plan in force.", {}})
    , vms_reporting(m_registry, {"cardamomstream_gateway_vms_heard", "Other VMs that report.", {}})
    , upstreams_usable(m_registry, {"cardamomstream_gateway_upstreams_usable", "Upstreams in use.", {}})
    , links_lost(
          m_registry,
          {"cardamomstream_gateway_links_lost", "1 while no upstream of the region can be reached.", {}})
    , parts_quarantined(m_registry, {"cardamomstream_gateway_prompt_parts_quarantined",
                                     "Prompt parts that are kept away from upstreams.",
                                     {}})
    , requests_quarantined(m_registry,
                           {"cardamomstream_gateway_requests_quarantined",
                            "Requests, by path, caller and body, that are kept away from upstreams.",
                            {}})
    , prediction_scale(m_registry, {"cardamomstream_gateway_prediction_scale",
                                    "Factor by which first events come later than predicted.",
                                    {}})
    , log_lines_left_out(m_registry,
                         {"cardamomstream_gateway_log_lines_left_out", "Log lines beyond the bound.", {}})
{
}

std::string gateway_metrics::render() const
{
    std::ostringstream text;
    prometheus::TextSerializer{}.Serialize(text, m_registry.Collect());
    return text.str();
}

} // namespace cardamomstream
