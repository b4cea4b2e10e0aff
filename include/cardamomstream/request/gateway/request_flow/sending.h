/// One send of a request: to an upstream, or to a VM of another region.
#pragma once

#include "cardamomstream/request/gateway/request_flow.h"

namespace cardamomstream {

template <gateway_wire Wire>
call_limits request_flow<Wire>::limits_for(const placement& where, std::chrono::milliseconds connect) const
{
    const auto left = time_left();
    call_limits limits{connect, left, left, left};
    // A request that can't be repeated gains nothing from being cut off early.
    if (m_route->repeatable() && m_runs + 1 < allowed_runs()) {
        const auto silence =
            is_stream() ? where.predicted * 2 + silence_extra : std::max(plain_silence, where.predicted * 4);
        limits.first_byte = std::min(left, silence);
        limits.chunk_gap = stall_limit(where);
    }
    return limits;
}

/// Longest time without a byte of a plain answer, or without an event of a stream.
template <gateway_wire Wire>
std::chrono::milliseconds request_flow<Wire>::stall_limit(const placement& where) const
{
    const auto left = time_left();
    if (!m_route->repeatable() || m_runs + 1 >= allowed_runs()) {
        return left;
    }
    if (!is_stream()) {
        return std::min(left, std::max(plain_silence, where.predicted * 4));
    }
    return std::min(left, m_begun ? stream_silence : where.predicted * 2 + silence_extra);
}

template <gateway_wire Wire>
upstream_call request_flow<Wire>::call_details(const placement& where) const
{
    upstream_call details;
    details.time_left = std::max(time_left(), std::chrono::milliseconds{1});
    details.expected_upstream = where.upstream;
    details.urgency = m_placing.urgency;
    if (m_customer != nullptr) {
        details.customer = m_customer->name;
    }
    if (m_begun && !m_events.last_id().empty()) {
        details.resume_after = m_events.last_id();
    }
    return details;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_end request_flow<Wire>::send_here(const placement& where)
{
    http_call call;
    call.address = where.address;
    call.method = m_request.method;
    call.target = m_request.target;
    call.headers = Wire::upstream_headers(m_request, call_details(where));
    remove_hop_headers(call.headers);
    call.body = m_request.body;
    call.limits = limits_for(where, connect_limit);
    auto sent = m_state.load.begin_request(where.upstream, m_placing, where.predicted, boot_clock::now());
    m_state.counters.predicted_first_byte.observe(where.predicted, m_placing.service);
    if (m_state.load.take_early_report_due() && m_state.request_early_report) {
        m_state.request_early_report();
    }
    auto exchange = m_state.client.send(call, m_cancel);
    auto outcome = send_outcome::answered;
    auto end = send_end::answered;
    if (!exchange) {
        const auto& failure = exchange.error();
        m_last_reason = failure.message;
        end = failure.outcome == run_outcome::not_run ? send_end::not_run : send_end::may_have_run;
        outcome = end == send_end::not_run                       ? send_outcome::unreachable
                  : failure.kind == error_kind::upstream_timeout ? send_outcome::silent
                                                                 : send_outcome::broken;
    }
    else {
        end = take_answer(*exchange.value(), &sent, where);
        outcome = end == send_end::not_run        ? send_outcome::rejected
                  : end == send_end::may_have_run ? (m_held ? send_outcome::failed : send_outcome::broken)
                                                  : send_outcome::answered;
    }
    if (m_cancel.cancelled()) {
        end = send_end::caller_gone;
        outcome = send_outcome::abandoned;
    }
    m_state.load.end_request(sent, outcome, boot_clock::now());
    m_state.counters.sends.increment(m_placing.service, std::string(to_text(outcome)));
    if (outcome != send_outcome::answered && outcome != send_outcome::abandoned) {
        m_state.log.write(log_weight::failure, "send_failed",
                          {{"request", m_caller.id.str()},
                           {"upstream", where.upstream.str()},
                           {"outcome", to_text(outcome)},
                           {"reason", m_last_reason},
                           {"send", std::int64_t{m_sends}}});
    }
    return end;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_end request_flow<Wire>::send_away(const placement& where)
{
    auto details = call_details(where);
    http_call call;
    call.address = where.address;
    call.method = m_request.method;
    call.target = m_request.target;
    call.headers = Wire::upstream_headers(m_request, details);
    remove_hop_headers(call.headers);
    write_hop_headers(call.headers, {m_route->name, m_placing.service, details.customer, m_placing.urgency,
                                     m_placing.waited + m_state.placing.region_delay()});
    call.body = m_request.body;
    call.limits = limits_for(where, hop_connect_limit);
    m_state.load.record_hop(where.upstream, m_placing, boot_clock::now());
    m_state.counters.hops.increment(where.region);
    auto exchange = m_state.client.send(call, m_cancel);
    if (m_cancel.cancelled()) {
        return send_end::caller_gone;
    }
    if (!exchange) {
        m_last_reason = exchange.error().message;
        return exchange.error().outcome == run_outcome::not_run ? send_end::not_run : send_end::may_have_run;
    }
    const auto end = take_answer(*exchange.value(), nullptr, where);
    return m_cancel.cancelled() ? send_end::caller_gone : end;
}

} // namespace cardamomstream
