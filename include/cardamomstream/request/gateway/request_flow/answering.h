/// What an upstream answers, relayed to the caller.
#pragma once

#include "cardamomstream/request/gateway/request_flow.h"

namespace cardamomstream {

template <gateway_wire Wire>
typename request_flow<Wire>::send_end
request_flow<Wire>::take_answer(http_exchange& exchange, sent_request* sent, const placement& where)
{
    const auto& head = exchange.head();
    const auto origin = Wire::origin_of(head);
    if (origin.not_run || (sent == nullptr && !origin.from_upstream && promises_not_run(head.status))) {
        m_last_reason = "rejected with " + std::to_string(head.status);
        read_rejection(exchange);
        return send_end::not_run;
    }
    if (!origin.from_upstream || (!origin.id.empty() && origin.id != m_caller.id)) {
        m_last_reason =
            origin.from_upstream ? "the answer belongs to another request" : "no upstream's answer";
        return send_end::may_have_run;
    }
    const bool success = head.status < 300;
    if (is_stream() && success) {
        return relay_stream(exchange, sent, where);
    }
    if (m_begun) {
        m_last_reason = "the stream was not resumed: " + std::to_string(head.status);
        return send_end::may_have_run;
    }
    return relay_whole(exchange, head.status >= 500 && m_route->repeatable());
}

/// Reads to the end where it is near, so that the connection can be used again.
template <gateway_wire Wire>
void request_flow<Wire>::read_rejection(http_exchange& exchange)
{
    exchange.limit_rest(rejection_limit);
    std::size_t bytes = 0;
    while (bytes <= max_rejection_bytes) {
        const auto part = exchange.next();
        if (!part || !part.value()) {
            return;
        }
        bytes += part.value()->size();
    }
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_end request_flow<Wire>::relay_whole(http_exchange& exchange,
                                                                      bool repeatable_failure)
{
    http_response answer;
    answer.head = {exchange.head().status, end_to_end_headers(exchange.head().headers)};
    auto held = m_state.held_answers.hold();
    while (true) {
        auto part = exchange.next();
        if (!part) {
            m_last_reason = part.error().message;
            return send_end::may_have_run;
        }
        if (!part.value()) {
            break;
        }
        if (!held.add(part.value()->size())) {
            m_last_reason = "the answer is too large to be held";
            return send_end::may_have_run;
        }
        answer.body += *part.value();
    }
    if (repeatable_failure) {
        m_last_reason = "the upstream failed with " + std::to_string(answer.head.status);
        m_held = std::move(answer);
        return send_end::may_have_run;
    }
    m_ran = true;
    m_first_byte = took();
    m_state.counters.first_byte.observe(m_first_byte, m_placing.service);
    const auto status = answer.head.status;
    if (!m_writer.send(answer)) {
        return send_end::caller_gone;
    }
    m_state.times.sample(m_route->name, took());
    log_end(status < 500 ? "answered" : "upstream_failed", std::to_string(status));
    return send_end::answered;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_end
request_flow<Wire>::relay_stream(http_exchange& exchange, sent_request* sent, const placement& where)
{
    m_events.drop_rest();
    m_ran = true;
    m_progressed_at = boot_clock::now();
    while (true) {
        auto part = exchange.next();
        const auto now = boot_clock::now();
        if (!part) {
            m_last_reason = part.error().message;
            if (m_begun && !m_route->resumable) {
                m_writer.abort_stream();
                log_end("cut", m_last_reason);
                return send_end::answered;
            }
            return send_end::may_have_run;
        }
        if (sent != nullptr) {
            m_state.load.on_first_event(*sent, now);
        }
        if (!part.value()) {
            break;
        }
        const auto bytes = m_route->resumable ? m_events.take(*part.value()) : std::move(*part.value());
        if (bytes.empty() && !m_events.may_go_on()) {
            m_last_reason = "an event has no end";
            return send_end::may_have_run;
        }
        if (bytes.empty() && now - m_progressed_at > stall_limit(where)) {
            m_last_reason = "the stream brings bytes but no event";
            return send_end::may_have_run;
        }
        if (!bytes.empty()) {
            m_progressed_at = now;
            if (sent != nullptr) {
                m_state.load.record_activity(where.upstream, now);
            }
        }
        if (write_events(bytes, exchange.head()) == send_end::caller_gone) {
            return send_end::caller_gone;
        }
    }
    if (write_events(m_events.rest(), exchange.head()) == send_end::caller_gone ||
        (m_begun
             ? !m_writer.end_stream()
             : !m_writer.send({{exchange.head().status, end_to_end_headers(exchange.head().headers)}, {}}))) {
        return send_end::caller_gone;
    }
    m_state.times.sample(m_route->name, took());
    log_end("answered", "stream");
    return send_end::answered;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_end request_flow<Wire>::write_events(std::string_view bytes,
                                                                       const http_response_head& head)
{
    if (bytes.empty()) {
        return send_end::answered;
    }
    if (!std::exchange(m_begun, true)) {
        m_first_byte = took();
        m_state.counters.first_byte.observe(m_first_byte, m_placing.service);
        if (!m_writer.begin_stream({head.status, end_to_end_headers(head.headers)})) {
            return send_end::caller_gone;
        }
    }
    return m_writer.write_chunk(bytes) ? send_end::answered : send_end::caller_gone;
}

} // namespace cardamomstream
