/// Sends an idempotent call whose upstream is silent to a second one, and keeps the first run until then.
#pragma once

#include "cardamomstream/request/gateway/request_flow.h"

namespace cardamomstream {

/// Starts a hedge if another upstream may take the call and the retry budget allows it.
template <gateway_wire Wire>
bool request_flow<Wire>::start_hedge(const placement& where, std::chrono::milliseconds silent)
{
    if (m_runs + 1 >= max_runs() || !seeks_replacement(where) ||
        decide_retry(send_result::may_have_run, boot_clock::now()).verdict != retry_verdict::allowed) {
        return false;
    }
    m_state.counters.repeats.increment(m_placing_request.service);
    m_state.counters.hedges.increment(m_placing_request.service);
    m_state.log.write(log_weight::failure, "hedge_started",
                      {{"request", m_caller_request.id.str()},
                       {"upstream", where.upstream.str()},
                       {"address", where.address.str()},
                       {"silent_ms", std::int64_t{silent.count()}},
                       {"send", std::int64_t{m_sends}}});
    m_hedge = std::make_unique<hedge>(*this, where);
    return true;
}

/// The flow of a hedge: one send. An answer that can be used is kept for the first flow.
template <gateway_wire Wire>
void request_flow<Wire>::run_hedge()
{
    const auto where = place_next();
    if (!is_placed(where)) {
        m_last_failure = to_text(where.verdict);
        return;
    }
    const auto result = send(where);
    if (!m_hedge_answer) {
        record_send(where, result);
    }
}

/// For how much longer the first run is waited for, whose upstream is silent. Zero when the hedge has an
/// answer.
template <gateway_wire Wire>
std::chrono::milliseconds request_flow<Wire>::wait_for_hedge(const placement& where,
                                                             std::chrono::milliseconds silent)
{
    using namespace std::chrono_literals;
    if (!m_hedge->ended()) {
        return hedge_poll;
    }
    if (m_hedge->has_answer()) {
        log_left_run(where, silent);
        return 0ms;
    }
    merge_hedge();
    return hedge_poll;
}

/// Takes what the ended hedge has found out; it had no usable answer.
template <gateway_wire Wire>
void request_flow<Wire>::merge_hedge()
{
    auto& second = m_hedge->flow;
    m_sends = second.m_sends;
    m_runs += second.m_runs;
    m_may_have_run = m_may_have_run || second.m_runs > 0;
    m_placing_request.tried = std::move(second.m_placing_request.tried);
    m_placing_request.refused_by = std::move(second.m_placing_request.refused_by);
    m_placing_request.tried_vms = std::move(second.m_placing_request.tried_vms);
    m_sent_to = std::move(second.m_sent_to);
    m_last_failure = std::move(second.m_last_failure);
    if (second.m_final_refusal) {
        m_final_refusal = second.m_final_refusal;
    }
    if (second.m_held_failure) {
        m_held_failure = std::move(second.m_held_failure);
    }
    m_hedge.reset();
}

/// How the request stands after the first run has ended with `result`: without an answer of it, the hedge is
/// waited for.
template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::end_hedge(send_result result)
{
    if (!m_hedge) {
        return result;
    }
    if (result == send_result::answered || result == send_result::caller_left) {
        m_hedge.reset();
        return result;
    }
    m_cancel.set_action([this] { m_hedge->cancel(); });
    m_hedge->wait();
    m_cancel.clear_action();
    if (m_cancel.cancelled()) {
        m_hedge.reset();
        return send_result::caller_left;
    }
    auto& second = m_hedge->flow;
    if (!m_hedge->has_answer()) {
        merge_hedge();
        return result;
    }
    const auto answer = std::move(*second.m_hedge_answer);
    m_last_upstream = second.m_last_upstream;
    m_sent_region = second.m_sent_region;
    m_sent_plan = second.m_sent_plan;
    m_sent_version = second.m_sent_version;
    m_unframed = second.m_unframed;
    m_sends = second.m_sends;
    m_predicted = second.m_predicted;
    m_running_at_upstream = second.m_running_at_upstream;
    m_hedge.reset();
    return deliver(answer);
}

} // namespace cardamomstream
