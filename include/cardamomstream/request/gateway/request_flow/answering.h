/// Relays an upstream's answer to the caller.
#pragma once

#include "cardamomstream/request/gateway/request_flow.h"

namespace cardamomstream {

template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::handle_answer(http_exchange& exchange, sent_request* sent, const placement& where)
{
    const auto& head = exchange.head();
    const auto origin = Wire::origin_of(head);
    const bool own_answer =
        (origin.from_upstream || origin.not_run) && (origin.id.empty() || origin.id == m_caller_request.id);
    if (sent != nullptr && own_answer && head.status != other_upstream) {
        record_statements(head, *sent);
    }
    if (sent == nullptr && !origin.from_upstream) {
        m_final_refusal = final_refusal(head.headers);
    }
    if (origin.not_run || (sent == nullptr && !origin.from_upstream && guarantees_not_run(head.status))) {
        m_last_failure = "rejected with status " + std::to_string(head.status);
        drain_rejection(exchange);
        return send_result::not_run;
    }
    if (!origin.from_upstream || (!origin.id.empty() && origin.id != m_caller_request.id)) {
        m_last_failure = origin.from_upstream ? "the answer belongs to another request"
                                              : "the answer does not come from an upstream";
        return send_result::may_have_run;
    }
    return relay_answer(exchange, sent, where);
}

/// Records what the upstream states about itself in an answer to this request.
template <gateway_wire Wire>
void request_flow<Wire>::record_statements(const http_response_head& head, const sent_request& sent)
{
    m_last_pause = Wire::pause_of(head);
    m_state.load.record_pause(sent, m_last_pause, boot_clock::now());
    if (Wire::says_leaving(head) && m_state.load.record_leaving(sent, boot_clock::now())) {
        m_state.log.write(log_weight::state, "upstream_leaving",
                          {{"upstream", sent.upstream.str()}, {"request", m_caller_request.id.str()}});
    }
    const auto limit = Wire::limit_of(head);
    if (m_state.load.record_limit(sent, limit, boot_clock::now())) {
        m_state.counters.limit_statements.increment(m_placing_request.service);
        if (m_state.request_early_report) {
            m_state.request_early_report();
        }
        m_state.log.write(log_weight::state,
                          limit.requests_per_second ? "upstream_limit" : "upstream_limit_ended",
                          {{"upstream", sent.upstream.str()},
                           {"per_second", limit.requests_per_second.value_or(0)},
                           {"request", m_caller_request.id.str()}});
    }
    else if (!limit.valid) {
        m_state.log.write(log_weight::failure, "upstream_limit_unreadable",
                          {{"upstream", sent.upstream.str()}, {"request", m_caller_request.id.str()}});
    }
}

template <gateway_wire Wire>
void request_flow<Wire>::note_failure(const error& failure)
{
    m_last_failure = failure.message;
    m_connection_broke = failure.kind == error_kind::upstream_failed;
}

/// Records that the upstream has answered the prompt, once for each send.
template <gateway_wire Wire>
void request_flow<Wire>::note_success(time_point now)
{
    if (!std::exchange(m_answer_lasts, true)) {
        m_state.on_quarantine_changes(m_state.quarantine.record_success(m_shared_parts, now),
                                      m_state.settings.vm);
    }
}

/// Reads a short body to its end, so that the connection can be reused.
template <gateway_wire Wire>
void request_flow<Wire>::drain_rejection(http_exchange& exchange)
{
    exchange.limit_rest(rejection_timeout);
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
typename request_flow<Wire>::send_result
request_flow<Wire>::relay_buffered(http_exchange& exchange, sent_request* sent, const placement& where,
                                   bool repeatable_failure)
{
    http_response answer;
    answer.head = {exchange.head().status, end_to_end_headers(exchange.head().headers)};
    auto held = m_state.held_answers.reserve();
    while (true) {
        auto part = exchange.next();
        if (!part) {
            note_failure(part.error());
            return send_result::may_have_run;
        }
        if (!part.value()) {
            break;
        }
        if (!held.add(part.value()->size())) {
            m_last_failure = "the answer exceeds the memory for buffered answers";
            return send_result::may_have_run;
        }
        answer.body += *part.value();
    }
    if (exchange.ends_with_connection() && process_has_ended(sent, where)) {
        note_broken_end();
        return send_result::may_have_run;
    }
    if (repeatable_failure) {
        m_last_failure = "the upstream failed with status " + std::to_string(answer.head.status);
        m_held_failure = std::move(answer);
        return send_result::may_have_run;
    }
    m_may_have_run = true;
    m_first_byte = elapsed();
    m_state.counters.first_byte.observe(m_first_byte, m_placing_request.service);
    const auto status = answer.head.status;
    if (constexpr unsigned first_redirection = 300; status < first_redirection) {
        note_success(boot_clock::now());
    }
    if (!m_writer.send(answer)) {
        return send_result::caller_left;
    }
    m_state.times.sample(m_route->name, elapsed());
    log_end(status < 500 ? "answered" : "upstream_failed", std::to_string(status));
    return send_result::answered;
}

/// Relays what an upstream has answered to this request.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::relay_answer(http_exchange& exchange, sent_request* sent, const placement& where)
{
    const bool resumption = m_stream_started;
    const auto after = m_events.last_id();
    const auto result = use_answer(exchange, sent, where);
    if (resumption) {
        record_resumption(exchange.head(), where, after, result);
    }
    return result;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::use_answer(http_exchange& exchange, sent_request* sent, const placement& where)
{
    const auto& head = exchange.head();
    const auto decision = decide_answer_use(
        head, {is_stream(), m_stream_started || m_events.run_continues(), m_stream_started});
    if (decision.use == answer_use::stream) {
        return relay_stream(exchange, sent, where);
    }
    if (decision.use == answer_use::plain) {
        return relay_buffered(exchange, sent, where, head.status >= 500 && m_route->repeatable());
    }
    m_last_failure = "the answer has no usable body: " + std::string(decision.reason) + ", status " +
                     std::to_string(head.status);
    return send_result::may_have_run;
}

/// Logs the answer to the resumption of a stream that has begun here; `after`: id of the event before it.
template <gateway_wire Wire>
void request_flow<Wire>::record_resumption(const http_response_head& head, const placement& where,
                                           std::string_view after, send_result result)
{
    const bool failed = result == send_result::may_have_run;
    const auto fault = m_events.fault();
    const std::string_view outcome = result == send_result::caller_left ? "caller_gone"
                                     : !failed                          ? "continued"
                                     : fault != event_fault::none       ? to_text(fault)
                                     : m_events.first_id().empty()      ? "not_continued"
                                                                        : "broken";
    m_state.counters.resumptions.increment(m_placing_request.service, std::string(outcome));
    m_state.log.write(log_weight::failure, "stream_resumed",
                      {{"request", m_caller_request.id.str()},
                       {"upstream", where.upstream.str()},
                       {"address", where.address.str()},
                       {"status", std::int64_t{head.status}},
                       {"type", header_value(head.headers, "Content-Type")},
                       {"after", after},
                       {"first", m_events.first_id()},
                       {"outcome", outcome},
                       {"reason", failed ? std::string_view(m_last_failure) : std::string_view{}},
                       {"send", std::int64_t{m_sends}}});
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::relay_stream(http_exchange& exchange, sent_request* sent, const placement& where)
{
    m_may_have_run = true;
    if (sent == nullptr) {
        m_sent_version = answer_version(exchange.head().headers);
    }
    m_last_event_at = boot_clock::now();
    while (true) {
        auto part = exchange.next();
        if (!part) {
            note_failure(part.error());
            return end_broken_stream();
        }
        if (sent != nullptr) {
            m_state.load.on_first_event(*sent, boot_clock::now());
        }
        if (!part.value()) {
            return end_stream(exchange, sent, where);
        }
        const auto result = relay_part(std::move(*part.value()), exchange.head(), sent, where);
        if (result != send_result::answered) {
            return result;
        }
    }
}

/// Writes what the bytes complete. Returns `answered` while the stream goes on.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::relay_part(std::string part, const http_response_head& head, sent_request* sent,
                               const placement& where)
{
    const auto now = boot_clock::now();
    const auto bytes = m_route->resumable ? m_events.feed(part) : m_events.pass_over(std::move(part));
    if (write_events(bytes, head) == send_result::caller_left) {
        return send_result::caller_left;
    }
    if (m_events.fault() != event_fault::none) {
        return reject_events(to_text(m_events.fault()));
    }
    if (bytes.empty() && !m_events.within_size_limit()) {
        m_last_failure = "an event exceeds the size limit";
        return send_result::may_have_run;
    }
    if (bytes.empty() && now - m_last_event_at > stall_timeout(where)) {
        m_last_failure = "the stream sends bytes but completes no event";
        return send_result::may_have_run;
    }
    if (!bytes.empty()) {
        m_last_event_at = now;
        if (now - m_answer_began_at.value_or(now) >= lasting_answer) {
            note_success(now);
        }
        if (sent != nullptr) {
            m_state.load.record_activity(where.upstream, now);
        }
    }
    return send_result::answered;
}

/// Ends the caller's stream if the upstream's bytes have come to an end that is the stream's.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::end_stream(http_exchange& exchange, const sent_request* sent, const placement& where)
{
    if (exchange.ends_with_connection() && (!m_events.at_event_end() || process_has_ended(sent, where))) {
        note_broken_end();
        return end_broken_stream();
    }
    const auto rest = m_route->resumable ? m_events.finish() : std::string{};
    if (m_events.fault() != event_fault::none) {
        return reject_events(to_text(m_events.fault()));
    }
    if (!shows_orderly_end(exchange)) {
        return reject_events("no event, and an end that isn't shown");
    }
    if (write_events(rest, exchange.head()) == send_result::caller_left ||
        (m_stream_started ? !m_writer.end_stream() : !m_writer.send({answer_head(exchange.head()), {}}))) {
        return send_result::caller_left;
    }
    note_success(boot_clock::now());
    m_state.times.sample(m_route->name, elapsed());
    log_end("answered", "stream");
    return send_result::answered;
}

/// Ends the run of an upstream whose bytes don't go on after the events that the caller has.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::reject_events(std::string_view reason)
{
    m_last_failure = "the upstream doesn't go on with the stream: " + std::string(reason);
    return send_result::may_have_run;
}

/// True unless a run must go on after the caller's events and brought nothing that shows the stream's end: a
/// declared stream with an end of its own may be empty, since the last run may have broken after its last
/// event.
template <gateway_wire Wire>
bool request_flow<Wire>::shows_orderly_end(const http_exchange& exchange) const
{
    return !m_events.run_continues() || !m_events.first_id().empty() ||
           (is_declared_event_stream(exchange.head()) && !exchange.ends_with_connection());
}

/// True when the answer may have ended because the upstream's process did. An upstream that leaves may end
/// after its last answer.
template <gateway_wire Wire>
bool request_flow<Wire>::process_has_ended(const sent_request* sent, const placement& where)
{
    return sent != nullptr && m_state.load.find(where.upstream) != nullptr &&
           m_state.probe.has_ended(where.address);
}

template <gateway_wire Wire>
void request_flow<Wire>::note_broken_end()
{
    m_last_failure = "the connection to the upstream broke: an answer without length was broken off";
    m_connection_broke = true;
}

/// Cuts a stream that can't be resumed.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::end_broken_stream()
{
    if (m_stream_started && !m_route->resumable) {
        m_writer.abort_stream();
        log_end("cut", m_last_failure);
        return send_result::answered;
    }
    return send_result::may_have_run;
}

/// From its first event on, the stream goes on at this version only.
template <gateway_wire Wire>
void request_flow<Wire>::begin_stream_at(const std::optional<std::string>& version)
{
    if (!m_route->resumable) {
        return;
    }
    if (!m_placing_request.version) {
        m_placing_request.version = version;
    }
    const auto& begun_at = m_placing_request.version;
    const auto origin =
        begun_at ? std::optional(stream_origin{m_placing_request.service, *begun_at}) : std::nullopt;
    m_state.origins.record(m_caller_request.id, origin, !m_placing_request.own_region_only,
                           boot_clock::now());
}

/// Head of a stream for the caller, or for the VM that passed the request on.
template <gateway_wire Wire>
http_response_head request_flow<Wire>::answer_head(const http_response_head& head) const
{
    http_response_head relayed{head.status, end_to_end_headers(head.headers)};
    set_answer_version(relayed.headers, m_placing_request.own_region_only ? m_sent_version : std::nullopt);
    return relayed;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::write_events(std::string_view bytes,
                                                                          const http_response_head& head)
{
    if (bytes.empty()) {
        return send_result::answered;
    }
    if (!std::exchange(m_stream_started, true)) {
        m_first_byte = elapsed();
        m_state.counters.first_byte.observe(m_first_byte, m_placing_request.service);
        begin_stream_at(m_sent_version);
        if (!m_writer.begin_stream(answer_head(head))) {
            return send_result::caller_left;
        }
    }
    return m_writer.write_chunk(bytes) ? send_result::answered : send_result::caller_left;
}

} // namespace cardamomstream
