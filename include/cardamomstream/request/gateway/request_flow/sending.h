/// Sends a request to an upstream, or to another VM.
#pragma once

#include "cardamomstream/request/gateway/request_flow.h"

#include <functional>

namespace cardamomstream {

/// Sets for how long the other side may be silent before the request is sent elsewhere.
template <gateway_wire Wire>
void request_flow<Wire>::limit_silence(http_call& call, const placement& where, const sent_request* sent,
                                       std::chrono::milliseconds connect)
{
    const auto left = time_left();
    const auto silence = stall_timeout(where);
    call.limits = {connect, silence, silence, left};
    if (silence < left) {
        call.on_silence = [this, where, sent](std::chrono::milliseconds silent) {
            return wait_on(where, sent, silent);
        };
    }
}

/// Time without a byte of a plain answer, or without a complete event of a stream, after which another
/// upstream is preferred.
template <gateway_wire Wire>
std::chrono::milliseconds request_flow<Wire>::stall_timeout(const placement& where) const
{
    const auto left = time_left();
    // Timing out early is useless for a request that can't be sent again.
    if (m_is_hedge || !m_route->repeatable() || m_runs + 1 >= max_runs()) {
        return left;
    }
    if (!is_stream()) {
        return std::min(left, std::max(min_answer_timeout, where.predicted * 4));
    }
    return std::min(left, m_stream_started ? stream_event_timeout : where.predicted * 2 + first_byte_margin);
}

/// Silence after which the caller abandons a stream, and after which it is checked whether a call's run is
/// lost.
template <gateway_wire Wire>
std::chrono::milliseconds request_flow<Wire>::caller_patience() const
{
    return std::max({min_caller_patience, m_route->latency_objective * patience_in_objectives,
                     m_route->event_gap_objective * patience_in_event_gaps});
}

/// For how much longer the running answer is waited for, of which nothing has come for `silent`: a sound
/// upstream may be silent for a while. Zero only if a hedge has the answer of a call, or the run is lost.
template <gateway_wire Wire>
std::chrono::milliseconds request_flow<Wire>::wait_on(const placement& where, const sent_request* sent,
                                                      std::chrono::milliseconds silent)
{
    using namespace std::chrono_literals;
    if (m_hedge) {
        return wait_for_hedge(where, silent);
    }
    if (const auto preferred = stall_timeout(where); silent < preferred) {
        return preferred - silent;
    }
    if (m_route->resumable) {
        return wait_on_stream(where, sent, silent);
    }
    note_silence(where, sent, silent);
    if (start_hedge(where, silent)) {
        return hedge_poll;
    }
    if (silent < caller_patience()) {
        return replacement_poll;
    }
    if (std::exchange(m_run_lost, false)) {
        return 0ms;
    }
    m_run_lost = is_run_lost(where, sent);
    return m_run_lost ? last_read_time : lost_run_poll;
}

/// The same for a stream that may go on elsewhere: it is left for another upstream once its run is lost. For
/// how long its caller waits is left to the caller.
template <gateway_wire Wire>
std::chrono::milliseconds request_flow<Wire>::wait_on_stream(const placement& where, const sent_request* sent,
                                                             std::chrono::milliseconds silent)
{
    using namespace std::chrono_literals;
    if (seeks_replacement(where)) {
        if (!std::exchange(m_run_lost, false)) {
            m_run_lost = is_run_lost(where, sent);
            if (m_run_lost) {
                m_replacement_sought_at = {};
                return last_read_time;
            }
        }
        else if (take_retry()) {
            log_left_run(where, silent);
            return 0ms;
        }
    }
    note_silence(where, sent, silent);
    return replacement_poll;
}

/// True when a stream that sends bytes but has completed no event for so long is given up. Its upstream runs,
/// so it notices that the connection is closed.
template <gateway_wire Wire>
bool request_flow<Wire>::gives_up_stalled(const placement& where, const sent_request* sent,
                                          std::chrono::milliseconds without_event)
{
    if (without_event <= stall_timeout(where)) {
        return false;
    }
    if (without_event >= caller_patience()) {
        return true;
    }
    if (seeks_replacement(where) && take_retry()) {
        log_left_run(where, without_event);
        return true;
    }
    note_silence(where, sent, without_event);
    return false;
}

/// Records once for each send that the upstream is silent.
template <gateway_wire Wire>
void request_flow<Wire>::note_silence(const placement& where, const sent_request* sent,
                                      std::chrono::milliseconds silent)
{
    if (sent == nullptr || std::exchange(m_silence_recorded, true)) {
        return;
    }
    m_state.load.record_silence(*sent, boot_clock::now());
    m_state.note_link_failure(where.upstream);
    m_state.log.write(log_weight::failure, "upstream_silent",
                      {{"request", m_caller_request.id.str()},
                       {"upstream", where.upstream.str()},
                       {"silent_ms", std::int64_t{silent.count()}},
                       {"begun", std::int64_t{m_stream_started ? 1 : 0}},
                       {"send", std::int64_t{m_sends}}});
}

/// True when it is time to ask again and the request may be sent elsewhere now, where some upstream could
/// take it.
template <gateway_wire Wire>
bool request_flow<Wire>::seeks_replacement(const placement& where)
{
    const auto now = boot_clock::now();
    if (now - m_replacement_sought_at < replacement_poll) {
        return false;
    }
    m_replacement_sought_at = now;
    if (!why_stream_ends().empty() || !m_state.answers_before_end(*m_route, time_left(), now)) {
        return false;
    }
    if (check_homes_known() || quarantine_decisions().verdict() != quarantine_verdict::allowed) {
        return false;
    }
    apply_plan_in_force();
    auto request = m_placing_request;
    request.time_left = time_left();
    exclude(request, where);
    return m_state.placing.has_alternative(request, *m_plan, m_state.load, now);
}

/// True when the run has ended with its process, or the upstream can't be reached. A closed connection ends
/// no run at an upstream that only stands still.
template <gateway_wire Wire>
bool request_flow<Wire>::is_run_lost(const placement& where, const sent_request* sent)
{
    if (sent != nullptr && m_state.load.has_lost_run(*sent)) {
        return true;
    }
    switch (m_state.probe.reach(where.address)) {
    case reachability::accepts:
    case reachability::closes:
        m_unanswered_probes = 0;
        return false;
    case reachability::refuses:
        return true;
    case reachability::no_answer:
        break;
    }
    return ++m_unanswered_probes >= probes_until_unreachable;
}

/// Takes one retry of the budget for a request that is sent elsewhere before its answer has ended.
template <gateway_wire Wire>
bool request_flow<Wire>::take_retry()
{
    const auto decision = decide_retry(send_result::may_have_run, boot_clock::now());
    m_replacement_permitted = decision.verdict == retry_verdict::allowed;
    return m_replacement_permitted;
}

template <gateway_wire Wire>
upstream_call request_flow<Wire>::call_details(const placement& where) const
{
    upstream_call details;
    details.time_left = std::max(time_left(), std::chrono::milliseconds{1});
    details.expected_upstream = where.upstream;
    details.urgency = m_placing_request.urgency;
    if (m_customer != nullptr) {
        details.customer = m_customer->name;
    }
    if (m_stream_started && !m_events.last_id().empty()) {
        details.resume_after = m_events.last_id();
    }
    return details;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::send_to_upstream(const placement& where)
{
    using namespace std::chrono_literals;
    http_call call;
    call.address = where.address;
    call.method = m_request.method;
    call.target = m_request.target;
    call.headers = Wire::upstream_headers(m_request, call_details(where));
    remove_hop_headers(call.headers);
    call.borrowed_body = m_request.body;
    call.fresh_connection = needs_new_connection(where.address);
    load_mark load(m_state.load, m_state.load.begin_request(where.upstream, m_placing_request,
                                                            where.predicted, boot_clock::now()));
    auto& sent = load.sent;
    call.on_unconnected = [this, &sent] { note_no_process(sent, "no_connection"); };
    call.before_write = [this, &sent]() -> result<void> {
        m_state.load.record_write(sent, boot_clock::now());
        return boost::outcome_v2::success();
    };
    limit_silence(call, where, &sent, connect_timeout);
    m_state.counters.predicted_first_byte.observe(where.predicted, m_placing_request.service);
    if (m_state.load.take_early_report_due() && m_state.request_early_report) {
        m_state.request_early_report();
    }
    m_last_pause.reset();
    const auto [result, outcome] = exchange_with(call, where, &sent);
    load.end(outcome);
    if (outcome == send_outcome::unreachable) {
        m_state.note_link_failure(where.upstream);
    }
    if (m_connection_broke && !m_cancel.cancelled()) {
        check_upstream_end(where, sent);
    }
    m_state.counters.sends.increment(m_placing_request.service, std::string(to_text(outcome)));
    log_failed_send(where, outcome);
    return result;
}

/// True when nothing but a new connection shows that an answer belongs to this send: the request has no id,
/// or a copy of an earlier answer with its id may follow on the connection to the same process.
template <gateway_wire Wire>
bool request_flow<Wire>::needs_new_connection(const endpoint& address) const
{
    return m_caller_request.id.empty() ||
           std::find(m_sent_to.begin(), m_sent_to.end(), address) != m_sent_to.end();
}

/// Makes the call and relays its answer.
template <gateway_wire Wire>
typename request_flow<Wire>::send_end
request_flow<Wire>::exchange_with(const http_call& call, const placement& where, sent_request* sent)
{
    auto exchange = m_state.client.send(call, m_cancel);
    auto end = exchange ? answered_end(handle_answer(*exchange.value(), sent, where))
                        : unanswered_end(exchange.error());
    if (m_cancel.cancelled()) {
        // What the caller has been sent, or is certain, holds beside the end of a stop.
        const bool kept =
            m_ended_by_stop && (end.result == send_result::answered || end.result == send_result::not_run);
        return {kept ? end.result : send_result::caller_left, send_outcome::abandoned};
    }
    return end;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_end request_flow<Wire>::answered_end(send_result result) const
{
    switch (result) {
    case send_result::not_run:
        return {result, send_outcome::rejected};
    case send_result::may_have_run:
        return {result, m_held_failure ? send_outcome::failed : send_outcome::broken};
    case send_result::answered:
    case send_result::caller_left:
        break;
    }
    return {result, send_outcome::answered};
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_end request_flow<Wire>::unanswered_end(const error& failure)
{
    note_failure(failure);
    if (failure.outcome == run_outcome::not_run) {
        m_not_run_evidence = nothing_sent;
        return {send_result::not_run, send_outcome::unreachable};
    }
    const bool silent = failure.kind == error_kind::upstream_timeout;
    return {send_result::may_have_run, silent ? send_outcome::silent : send_outcome::broken};
}

template <gateway_wire Wire>
void request_flow<Wire>::log_failed_send(const placement& where, send_outcome outcome)
{
    using namespace std::chrono_literals;
    if (outcome == send_outcome::answered || outcome == send_outcome::abandoned) {
        return;
    }
    const auto answer_age =
        m_answer_began_at
            ? std::chrono::floor<std::chrono::milliseconds>(boot_clock::now() - *m_answer_began_at)
            : std::chrono::milliseconds{-1};
    const bool here = where.verdict == placing_verdict::here;
    m_state.log.write(log_weight::failure, "send_failed",
                      {{"request", m_caller_request.id.str()},
                       {"upstream", here ? std::string_view(where.upstream.str()) : std::string_view{}},
                       {"address", where.address.str()},
                       {"region", where.region.str()},
                       {"plan", static_cast<std::int64_t>(m_sent_plan)},
                       {"hop", std::int64_t{here ? 0 : 1}},
                       {"outcome", to_text(outcome)},
                       {"not_run", m_not_run_evidence},
                       {"status", std::int64_t{m_answer_status}},
                       {"connection", m_connection},
                       {"reason", m_last_failure},
                       {"pause_ms", std::int64_t{m_last_pause.value_or(0ms).count()}},
                       {"answer_age_ms", std::int64_t{answer_age.count()}},
                       {"parts", shared_parts_text()},
                       {"send", std::int64_t{m_sends}}});
}

/// Logs that the connection of a running answer is closed, and the request sent elsewhere.
template <gateway_wire Wire>
void request_flow<Wire>::log_left_run(const placement& where, std::chrono::milliseconds silent)
{
    m_state.counters.runs_left.increment(m_placing_request.service,
                                         std::string(m_stream_started ? "begun" : "not_begun"));
    m_state.log.write(log_weight::failure, "run_left",
                      {{"request", m_caller_request.id.str()},
                       {"upstream", where.upstream.str()},
                       {"address", where.address.str()},
                       {"silent_ms", std::int64_t{silent.count()}},
                       {"begun", std::int64_t{m_stream_started ? 1 : 0}},
                       {"after", m_events.last_id()},
                       {"send", std::int64_t{m_sends}}});
}

/// Records that no process of the upstream takes connections: the next one that does may be cold.
template <gateway_wire Wire>
void request_flow<Wire>::note_no_process(const sent_request& sent, std::string_view sign)
{
    if (m_state.load.record_no_process(sent, boot_clock::now())) {
        log_upstream_end(sent, sign);
    }
}

template <gateway_wire Wire>
void request_flow<Wire>::log_upstream_end(const sent_request& sent, std::string_view sign)
{
    m_state.log.write(log_weight::state, "upstream_end_seen",
                      {{"upstream", sent.upstream.str()}, {"sign", sign}});
    if (m_state.request_early_report) {
        m_state.request_early_report();
    }
}

/// Suspects the request when its connection broke, and the parts of its prompt when the upstream's process
/// has ended under an answer that had just begun.
template <gateway_wire Wire>
void request_flow<Wire>::check_upstream_end(const placement& where, const sent_request& sent)
{
    const auto broke_at = boot_clock::now();
    m_state.load.record_break(sent, broke_at);
    const auto found = m_state.probe.after_break(where.address);
    const bool ended = found != reachability::accepts;
    if (ended) {
        m_state.note_link_failure(where.upstream);
    }
    if (found == reachability::refuses || found == reachability::no_answer) {
        note_no_process(sent, "broke_no_connection");
    }
    else if (found == reachability::accepts &&
             m_state.load.record_common_break(sent, m_state.client.idle_open(where.address, broke_at),
                                              broke_at)) {
        log_upstream_end(sent, "connections_broke");
    }
    if (m_state.links.lost()) {
        return; // says nothing of the upstream
    }
    const auto& id = m_caller_request.id.str();
    const auto broken_send = ended ? 0 : std::max<std::uint64_t>(1, std::hash<std::string>{}(id));
    m_state.on_quarantine_changes(m_state.request_quarantine.record_crash(m_request_digest, where.upstream,
                                                                          sent.started_unix_ms, sent.sent_at,
                                                                          broke_at, broken_send),
                                  m_state.settings.vm);
    if (!ended) {
        return;
    }
    m_state.load.record_process_end(where.upstream, broke_at);
    m_state.counters.upstream_ends.increment(m_placing_request.service);
    m_state.log.write(log_weight::failure, "upstream_ended",
                      {{"request", m_caller_request.id.str()},
                       {"upstream", where.upstream.str()},
                       {"digest", fmt::format("{:x}", m_request_digest.front())},
                       {"parts", shared_parts_text()}});
    if (m_answer_lasts) {
        return;
    }
    m_state.on_quarantine_changes(m_state.quarantine.record_crash(m_shared_parts, where.upstream,
                                                                  sent.started_unix_ms, sent.sent_at,
                                                                  broke_at),
                                  m_state.settings.vm);
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::send_to_vm(const placement& where)
{
    const bool elsewhere = where.verdict == placing_verdict::other_region;
    auto details = call_details(where);
    http_call call;
    call.address = where.address;
    call.method = m_request.method;
    call.target = m_request.target;
    call.headers = Wire::vm_headers(m_request, details);
    remove_hop_headers(call.headers);
    write_hop_headers(call.headers,
                      {m_route->name, m_placing_request.service, details.customer, m_placing_request.urgency,
                       m_placing_request.waited +
                           (elsewhere ? m_state.placing.region_delay() : std::chrono::milliseconds{0}),
                       m_placing_request.version});
    call.borrowed_body = m_request.body;
    call.fresh_connection = needs_new_connection(where.address);
    limit_silence(call, where, nullptr, elsewhere ? hop_connect_timeout : connect_timeout);
    m_state.load.record_hop(where.upstream, m_placing_request, boot_clock::now());
    m_state.counters.hops.increment(where.region);
    const auto [result, outcome] = exchange_with(call, where, nullptr);
    log_failed_send(where, outcome);
    return result;
}

} // namespace cardamomstream
