/// Relays an upstream's answer to the caller.
#pragma once

#include "cardamomstream/connection/header_number.h"
#include "cardamomstream/request/gateway/request_flow.h"

namespace cardamomstream {

template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::handle_answer(http_exchange& exchange, sent_request* sent, const placement& where)
{
    const bool by_vm = sent == nullptr;
    m_connection = exchange.first_on_connection() ? "new" : "kept";
    const auto proof = await_own_answer(exchange, by_vm, where);
    if (!proof) {
        return send_result::may_have_run;
    }
    m_answer_began_at = boot_clock::now();
    const auto& head = exchange.head();
    if (sent != nullptr && proof != answer_proof::not_from_upstream && head.status != other_upstream) {
        sent->connected_at = exchange.connected_at();
        m_state.load.record_activity(*sent, boot_clock::now());
        if (exchange.first_on_connection()) {
            m_state.links.record_contact(sent->upstream);
        }
        record_statements(head, *sent);
    }
    if (proof == answer_proof::not_run) {
        if (by_vm) {
            m_final_refusal = final_refusal(head.headers);
        }
        m_last_failure = "rejected with status " + std::to_string(head.status);
        drain_rejection(exchange);
        return send_result::not_run;
    }
    if (proof != answer_proof::answered) {
        m_last_failure = fmt::format("status {}: {}", head.status, to_text(*proof));
        return send_result::may_have_run;
    }
    return relay_answer(exchange, sent, where);
}

/// Passes over answers to other requests. Empty when no answer to this one comes; it may have run.
template <gateway_wire Wire>
std::optional<answer_proof> request_flow<Wire>::await_own_answer(http_exchange& exchange, bool by_vm,
                                                                 const placement& where)
{
    for (int foreign = 0; foreign <= max_foreign_answers; ++foreign) {
        const answer_facts facts{exchange.head().status,
                                 Wire::origin_of(exchange.head()),
                                 m_caller_request.id,
                                 exchange.first_on_connection(),
                                 by_vm,
                                 m_route->repeatable()};
        const auto proof = assess_answer(facts);
        if (proof != answer_proof::foreign) {
            m_answer_status = facts.status;
            if (proof == answer_proof::not_run) {
                m_not_run_evidence = refusal_evidence(facts);
            }
            return proof;
        }
        note_foreign_answer(exchange.head(), by_vm, where);
        if (exchange.first_on_connection()) {
            // It can't be an extra answer to an earlier request, behind which the own one comes.
            m_last_failure = to_text(proof);
            return std::nullopt;
        }
        if (const auto next = exchange.skip_answer(max_foreign_bytes); !next) {
            note_failure(next.error());
            return std::nullopt;
        }
    }
    m_last_failure = "too many answers to other requests";
    return std::nullopt;
}

template <gateway_wire Wire>
void request_flow<Wire>::note_foreign_answer(const http_response_head& head, bool by_vm,
                                             const placement& where)
{
    m_state.counters.foreign_answers.increment(m_placing_request.service);
    m_state.log.write(log_weight::failure, "foreign_answer",
                      {{"request", m_caller_request.id.str()},
                       {"address", where.address.str()},
                       {"answers", Wire::origin_of(head).id.str()},
                       {"status", std::int64_t{head.status}},
                       {"hop", std::int64_t{by_vm ? 1 : 0}}});
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
    if (const auto news = m_state.load.record_load(sent, Wire::load_of(head), boot_clock::now());
        news != load_news::none) {
        m_state.log.write(log_weight::state,
                          news == load_news::unreadable ? "upstream_load_unreadable"
                                                        : "service_shares_machines",
                          {{"service", m_placing_request.service.str()},
                           {"upstream", sent.upstream.str()},
                           {"request", m_caller_request.id.str()}});
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

/// Records that the upstream has sent the end of an answer.
template <gateway_wire Wire>
void request_flow<Wire>::note_completion(time_point now)
{
    m_state.on_quarantine_changes(m_state.request_quarantine.record_success(m_request_digest, now),
                                  m_state.settings.vm);
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
    set_framing(answer.head);
    m_buffered.emplace(m_state.held_answers);
    const auto announced =
        leading_number<std::size_t>(header_value(exchange.head().headers, "Content-Length"));
    if (!await_answer_memory(announced.value_or(0))) {
        return send_result::may_have_run;
    }
    while (true) {
        auto part = exchange.next();
        if (!part) {
            note_failure(part.error());
            return send_result::may_have_run;
        }
        if (part.value() && m_hedge && m_hedge->has_answer()) {
            log_left_run(where, std::chrono::milliseconds{0});
            m_last_failure = "another upstream has answered before its end";
            return send_result::may_have_run;
        }
        if (!part.value()) {
            break;
        }
        answer.body += *part.value();
        if (answer.body.size() > announced.value_or(0) && !await_answer_memory(answer.body.size())) {
            return send_result::may_have_run;
        }
    }
    if (m_unframed && process_has_ended(sent, where)) {
        note_broken_end();
        return send_result::may_have_run;
    }
    if (answer.head.status < first_redirection && is_declared_event_stream(exchange.head()) &&
        ends_inside_event(answer.body)) {
        note_incomplete_event(where);
        m_last_failure = "the upstream's stream ended inside an event";
        return send_result::may_have_run;
    }
    note_completion(boot_clock::now());
    if (repeatable_failure) {
        m_last_failure = "the upstream failed with status " + std::to_string(answer.head.status);
        m_held_failure = std::move(answer);
        return send_result::may_have_run;
    }
    if (m_is_hedge) {
        m_hedge_answer = std::move(answer);
        return send_result::answered;
    }
    return deliver(answer);
}

/// Waits until so many bytes of the answer may be kept: others end, or their callers read on. False when
/// there will be no memory in time.
template <gateway_wire Wire>
bool request_flow<Wire>::await_answer_memory(std::size_t bytes)
{
    while (!m_buffered->resize(bytes)) {
        if (bytes > answer_memory::max_bytes_per_answer || m_cancel.cancelled() ||
            time_left() <= std::chrono::milliseconds::zero()) {
            m_last_failure = "the answer exceeds the memory for buffered answers";
            return false;
        }
        boost::this_fiber::sleep_for(answer_memory_poll);
    }
    return true;
}

/// Gives the caller a complete answer.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::deliver(const http_response& answer)
{
    m_may_have_run = true;
    m_first_byte = elapsed();
    m_state.counters.first_byte.observe(m_first_byte, m_placing_request.service);
    const auto status = answer.head.status;
    if (status < first_redirection) {
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
    m_unframed = exchange.head().ends_with_connection ||
                 (sent == nullptr && is_answer_unframed(exchange.head().headers));
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
        m_sent_process = answer_process(exchange.head().headers);
    }
    m_last_event_at = boot_clock::now();
    auto held = m_state.held_answers.reserve();
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
        const auto result = relay_part(std::move(*part.value()), exchange.head(), sent, where, held);
        if (result != send_result::answered) {
            return result;
        }
    }
}

/// Writes what the bytes complete. Returns `answered` while the stream goes on.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::relay_part(std::string part, const http_response_head& head, sent_request* sent,
                               const placement& where, answer_memory::reservation& held)
{
    const auto now = boot_clock::now();
    m_run_lost = false;
    const auto bytes = m_route->resumable ? m_events.feed(part) : m_events.pass_over(std::move(part));
    if (write_events(bytes, head) == send_result::caller_left) {
        return send_result::caller_left;
    }
    discard_uncertain_version();
    if (m_events.fault() != event_fault::none) {
        return reject_events(to_text(m_events.fault()));
    }
    if (!held.resize(m_events.held_bytes()) || !m_events.within_size_limit()) {
        m_last_failure = "an event exceeds the size limit or the memory for incomplete events";
        return send_result::may_have_run;
    }
    const auto without_event = std::chrono::floor<std::chrono::milliseconds>(now - m_last_event_at);
    if (bytes.empty() && gives_up_stalled(where, sent, without_event)) {
        m_last_failure = "the stream sends bytes but completes no event";
        return send_result::may_have_run;
    }
    if (!bytes.empty()) {
        m_last_event_at = now;
        if (now - m_answer_began_at.value_or(now) >= lasting_answer) {
            note_success(now);
        }
        if (sent != nullptr) {
            m_state.load.record_activity(*sent, now);
        }
    }
    return send_result::answered;
}

/// True when the end of an answer without frame isn't the end of a stream, or can't be passed on as what it
/// is.
template <gateway_wire Wire>
bool request_flow<Wire>::is_broken_end(const sent_request* sent, const placement& where)
{
    if (!m_events.at_event_end() || !m_events.has_bytes()) {
        return true;
    }
    // The last chunk would state that the stream is complete.
    return m_stream_has_chunks || process_has_ended(sent, where);
}

/// Ends the caller's stream if the upstream's bytes have come to an end that is the stream's.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result
request_flow<Wire>::end_stream(http_exchange& exchange, const sent_request* sent, const placement& where)
{
    const bool declared = is_declared_event_stream(exchange.head());
    if (m_events.ends_inside_event(declared)) {
        note_incomplete_event(where);
    }
    if (m_unframed && is_broken_end(sent, where)) {
        note_broken_end();
        return end_broken_stream();
    }
    auto rest = m_events.finish(declared);
    if (m_events.fault() != event_fault::none) {
        (void)reject_events(to_text(m_events.fault()));
        return end_broken_stream();
    }
    if (!m_route->resumable) {
        rest.clear(); // has been passed on
    }
    if (!shows_orderly_end(exchange)) {
        return reject_events("no event, and an end that isn't shown");
    }
    if (write_events(rest, exchange.head()) == send_result::caller_left ||
        (m_stream_started ? !m_writer.end_stream() : !m_writer.send({answer_head(exchange.head()), {}}))) {
        return send_result::caller_left;
    }
    note_success(boot_clock::now());
    note_completion(boot_clock::now());
    m_state.times.sample(m_route->name, elapsed());
    log_end("answered", "stream");
    return send_result::answered;
}

/// Records that an upstream, or another VM, has ended the body of a stream inside an event.
template <gateway_wire Wire>
void request_flow<Wire>::note_incomplete_event(const placement& where)
{
    m_state.counters.incomplete_streams.increment(m_placing_request.service);
    m_state.log.write(log_weight::failure, "stream_incomplete",
                      {{"request", m_caller_request.id.str()},
                       {"upstream", where.upstream.str()},
                       {"address", where.address.str()},
                       {"after", m_events.last_id()},
                       {"unframed", std::int64_t{m_unframed ? 1 : 0}},
                       {"resumable", std::int64_t{m_route->resumable ? 1 : 0}},
                       {"send", std::int64_t{m_sends}}});
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
           (is_declared_event_stream(exchange.head()) && !m_unframed);
}

/// True when the answer may have ended because the upstream's process did. An upstream that leaves runs its
/// requests until it ends, so its end counts like that of any other one.
template <gateway_wire Wire>
bool request_flow<Wire>::process_has_ended(const sent_request* sent, const placement& where)
{
    return sent != nullptr && m_state.probe.has_ended(where.address);
}

template <gateway_wire Wire>
void request_flow<Wire>::note_broken_end()
{
    m_last_failure = "the connection to the upstream broke: an answer without length was broken off";
    m_connection_broke = true;
}

/// Cuts a stream that can't be resumed, unless its caller has left.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::end_broken_stream()
{
    if (m_stream_started && m_cancel.cancelled()) {
        return send_result::caller_left;
    }
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

/// A process that starts under the id of an earlier one may get requests before its entry is known. If it has
/// another software version, it isn't certain which of the two versions sent the events of this run.
template <gateway_wire Wire>
void request_flow<Wire>::discard_uncertain_version()
{
    if (!m_sent_process || !m_placing_request.version || m_events.first_id().empty()) {
        return;
    }
    const auto* state = m_state.load.find(m_sent_process->upstream);
    if (state == nullptr) {
        return;
    }
    const auto& listed = state->view.record;
    // The list of the VM that passed the request on may be older than that of the one that sent it.
    if (listed.started_unix_ms <= m_sent_process->started_unix_ms ||
        listed.version == *m_placing_request.version) {
        return;
    }
    m_state.log.write(log_weight::failure, "stream_version_uncertain",
                      {{"request", m_caller_request.id.str()},
                       {"upstream", listed.id.str()},
                       {"version", *m_placing_request.version},
                       {"listed_version", listed.version},
                       {"after", m_events.last_id()}});
    // A second origin: no VM that knows of both resumes the stream.
    m_state.origins.record(m_caller_request.id, stream_origin{m_placing_request.service, listed.version},
                           !m_placing_request.own_region_only, boot_clock::now());
    m_placing_request.version.reset();
}

/// Head of a stream for the caller, or for the VM that passed the request on.
template <gateway_wire Wire>
http_response_head request_flow<Wire>::answer_head(const http_response_head& head) const
{
    http_response_head relayed{head.status, end_to_end_headers(head.headers)};
    const bool to_vm = m_placing_request.own_region_only;
    set_answer_version(relayed.headers, to_vm ? m_sent_version : std::nullopt);
    set_answer_process(relayed.headers, to_vm ? m_sent_process : std::nullopt);
    set_framing(relayed);
    return relayed;
}

/// Gives the answer a frame only if the upstream's has one.
template <gateway_wire Wire>
void request_flow<Wire>::set_framing(http_response_head& head) const
{
    const bool to_vm = m_placing_request.own_region_only;
    set_answer_unframed(head.headers, m_unframed && to_vm);
    head.ends_with_connection = m_unframed && !to_vm;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::write_events(std::string_view bytes,
                                                                          const http_response_head& head)
{
    if (bytes.empty()) {
        return send_result::answered;
    }
    if (!m_stream_started && m_ended_by_stop) {
        return send_result::caller_left; // its last answer is due instead
    }
    if (!std::exchange(m_stream_started, true)) {
        m_first_byte = elapsed();
        m_state.counters.first_byte.observe(m_first_byte, m_placing_request.service);
        begin_stream_at(m_sent_version);
        m_stream_has_chunks = !m_unframed;
        if (!m_writer.begin_stream(answer_head(head))) {
            return send_result::caller_left;
        }
    }
    return m_writer.write_chunk(bytes) ? send_result::answered : send_result::caller_left;
}

} // namespace cardamomstream
