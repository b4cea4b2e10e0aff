/// The path of one request: admitted, placed, sent, and answered.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/connection/response_writer.h"
#include "cardamomstream/request/gateway/event_splitter.h"
#include "cardamomstream/request/gateway/gateway_state.h"
#include "cardamomstream/request/gateway/gateway_types.h"
#include "cardamomstream/request/gateway/hop_headers.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/fiber/operations.hpp>

namespace cardamomstream {

/// Runs in one fiber of the traffic thread that owns `gateway_state`. A request that may not be repeated is
/// sent again only after the upstream said, or no connection shows, that it has not run.
template <gateway_wire Wire>
class request_flow {
public:
    request_flow(gateway_state& state, const http_request& request, response_writer& writer)
        : m_state(state)
        , m_request(request)
        , m_writer(writer)
        , m_caller(Wire::read_request(request))
        , m_started(boot_clock::now())
    {
    }

    /// A request that a caller sent to this VM.
    void serve_caller()
    {
        if (auto refused = admit_caller()) {
            refuse(*refused);
            return;
        }
        serve();
    }

    /// A request that another VM passed on; it was admitted there.
    void serve_hop(const hop_details& hop)
    {
        if (auto refused = admit_hop(hop)) {
            refuse(*refused);
            return;
        }
        serve();
    }

private:
    /// How one send ended, as far as the request is concerned.
    enum class send_end {
        answered,     ///< the caller has its answer, or an answer that can't be made whole was cut off
        not_run,      ///< the request has not run there
        may_have_run, ///< no usable answer
        caller_gone,
    };

    static constexpr std::chrono::milliseconds default_time_left{15'000}; ///< where neither side sets one
    static constexpr std::chrono::milliseconds connect_limit{300};        ///< inside a region
    static constexpr std::chrono::milliseconds hop_connect_limit{700};    ///< between regions
    static constexpr std::chrono::milliseconds silence_extra{800};        ///< beyond twice the prediction
    static constexpr std::chrono::milliseconds plain_silence{400};    ///< to the answer of a repeatable call
    static constexpr std::chrono::milliseconds stream_silence{1'000}; ///< within a resumable stream
    static constexpr std::chrono::milliseconds give_up_margin{60};    ///< the answer is on its way by then

    /// A rejection whose body is longer, or takes longer, costs its connection.
    static constexpr std::size_t max_rejection_bytes = 16 * 1024;
    static constexpr std::chrono::milliseconds rejection_limit{100};

    std::optional<error> admit_caller();
    std::optional<error> admit_hop(const hop_details& hop);
    std::optional<error> check_stop() const;
    void prepare(const pool_name& service, int urgency);
    void serve();
    void attempts();
    send_end send_here(const placement& where);
    send_end send_away(const placement& where);
    send_end take_answer(http_exchange& exchange, sent_request* sent, const placement& where);
    static void read_rejection(http_exchange& exchange);
    send_end relay_whole(http_exchange& exchange, bool repeatable_failure);
    send_end relay_stream(http_exchange& exchange, sent_request* sent, const placement& where);
    send_end write_events(std::string_view bytes, const http_response_head& head);
    bool may_send_again(send_end end);
    void give_up(send_end end);
    void refuse(const error& reason);
    void refuse_placing(const placement& where);
    std::string homes() const;
    void log_end(std::string_view end, std::string_view reason);

    call_limits limits_for(const placement& where, std::chrono::milliseconds connect) const;
    std::chrono::milliseconds stall_limit(const placement& where) const;
    upstream_call call_details(const placement& where) const;
    std::chrono::milliseconds time_left() const
    {
        return std::chrono::floor<std::chrono::milliseconds>(m_deadline - boot_clock::now());
    }
    std::chrono::milliseconds took() const
    {
        return std::chrono::floor<std::chrono::milliseconds>(boot_clock::now() - m_started);
    }
    /// Upstreams on which this VM may run the request. A VM to which it was passed on runs it once, so that
    /// the first VM knows how often it ran.
    std::uint32_t allowed_runs() const
    {
        return m_placing.own_region_only ? 1 : std::max(1U, m_route->max_attempts);
    }
    bool is_stream() const { return m_route->kind == call_kind::stream; }

    gateway_state& m_state;
    const http_request& m_request;
    response_writer& m_writer;
    caller_request m_caller;
    time_point m_started;
    time_point m_deadline;
    std::shared_ptr<const service_plan> m_plan;
    const plan_route* m_route = nullptr;
    const plan_customer* m_customer = nullptr;
    placing_request m_placing;
    cancellation m_cancel;
    event_splitter m_events;
    time_point m_progressed_at;          ///< when the last whole event of the stream came
    std::optional<http_response> m_held; ///< an upstream's failure, delivered unless a repeat does better
    double m_charged = 0;
    bool m_begun = false; ///< the caller has the head of a stream
    bool m_ran = false;   ///< some send may have run
    std::uint32_t m_sends = 0;
    std::uint32_t m_runs = 0;
    std::string m_last_reason; ///< why the last send failed; for logs
    std::string m_last_upstream;
    std::chrono::milliseconds m_predicted{0};
    std::uint32_t m_running_there = 0;
    std::chrono::milliseconds m_first_byte{0}; ///< until the first byte of the answer
};

template <gateway_wire Wire>
void request_flow<Wire>::serve()
{
    m_writer.on_caller_gone([this] { m_cancel.cancel(); });
    m_state.in_flight += 1;
    m_state.counters.in_flight.increment();
    attempts();
    m_state.counters.in_flight.decrement();
    m_state.in_flight -= 1;
    if (!m_ran && m_customer != nullptr) {
        m_state.quota.refund(m_customer->name, m_charged);
    }
}

template <gateway_wire Wire>
void request_flow<Wire>::attempts()
{
    const auto waited_before = m_placing.waited;
    while (true) {
        m_placing.waited = waited_before + took();
        m_placing.time_left = time_left();
        m_placing.sent_before = m_sends > 0;
        const auto where = m_state.placing.place(m_placing, *m_plan, m_state.load, boot_clock::now());
        const bool here = where.verdict == placing_verdict::here;
        if (!here && where.verdict != placing_verdict::other_region) {
            if (m_ran || m_begun || m_held) {
                give_up(send_end::may_have_run);
                return;
            }
            refuse_placing(where);
            return;
        }
        m_sends += 1;
        m_predicted = where.predicted;
        m_running_there = where.running;
        m_last_upstream = where.upstream.str();
        const auto end = here ? send_here(where) : send_away(where);
        if (end == send_end::answered || end == send_end::caller_gone) {
            if (end == send_end::caller_gone) {
                m_ran = true; // nobody waits to learn whether it did
                log_end("caller_gone", m_last_reason);
            }
            return;
        }
        if (end == send_end::may_have_run) {
            m_ran = true;
            m_runs += 1;
        }
        if (here) {
            m_placing.tried.push_back(where.upstream);
        }
        else {
            m_placing.refused_by.push_back(where.region);
        }
        if (!may_send_again(end)) {
            give_up(end);
            return;
        }
    }
}

template <gateway_wire Wire>
bool request_flow<Wire>::may_send_again(send_end end)
{
    if (m_runs >= allowed_runs()) {
        return false;
    }
    retry_query query;
    query.repeat = m_route->repeatable() ? repeat_policy::idempotent : repeat_policy::at_most_once;
    query.outcome = end == send_end::not_run ? run_outcome::not_run : run_outcome::unknown;
    query.attempts_made = m_sends;
    query.deadline = m_deadline;
    const auto now = boot_clock::now();
    const auto decision = m_state.retries_of(m_placing.service).next(query, now, m_state.random);
    if (decision.verdict != retry_verdict::allowed) {
        return false;
    }
    m_state.counters.repeats.increment(m_placing.service);
    boost::this_fiber::sleep_for(decision.at - now);
    return !m_cancel.cancelled();
}

template <gateway_wire Wire>
void request_flow<Wire>::give_up(send_end end)
{
    if (m_begun) {
        m_writer.abort_stream();
        log_end("cut", m_last_reason);
        return;
    }
    if (m_held) {
        (void)m_writer.send(*m_held); // a caller that has left needs no answer
        log_end("upstream_failed", m_last_reason);
        return;
    }
    if (end == send_end::not_run && !m_ran) {
        using namespace std::chrono_literals;
        refuse({error_kind::upstream_unavailable, "no upstream took the request", "try again", {}, 300ms});
        return;
    }
    const bool late = time_left() <= give_up_margin;
    refuse({late ? error_kind::upstream_timeout : error_kind::upstream_failed,
            "the upstream gave no whole answer",
            "read the status before you submit again",
            run_outcome::unknown,
            {}});
}

template <gateway_wire Wire>
void request_flow<Wire>::refuse_placing(const placement& where)
{
    m_last_reason = std::string(to_text(where.verdict));
    m_predicted = where.predicted;
    if (const auto since =
            closed_since(m_state.deployment->evacuated, m_state.settings.regions, *m_route, m_customer)) {
        refuse({error_kind::region_evacuated, "all data centres in which the request may run are evacuated",
                "come back after the time given", run_outcome::not_run,
                time_to_reopening(*since, boot_clock::now())});
        return;
    }
    const bool overloaded = where.verdict == placing_verdict::overloaded;
    refuse({overloaded ? error_kind::overloaded : error_kind::upstream_unavailable,
            overloaded ? "every upstream would answer too late" : "no upstream can take the request now",
            "come back after the time given", run_outcome::not_run, where.retry_after});
}

/// Regions in which the request may run, separated by spaces; empty where it may run in all.
template <gateway_wire Wire>
std::string request_flow<Wire>::homes() const
{
    std::string text;
    if (m_route == nullptr ||
        (m_route->home_regions.empty() && (m_customer == nullptr || m_customer->home_regions.empty()))) {
        return text;
    }
    std::set<region_name> regions;
    for (const auto& [data_centre, region] : m_state.settings.regions) {
        if (may_run_in(region, *m_route, m_customer) && regions.insert(region).second) {
            text += (text.empty() ? "" : " ") + region.str();
        }
    }
    return text;
}

template <gateway_wire Wire>
void request_flow<Wire>::refuse(const error& reason)
{
    const auto code = std::string(code_of(reason.kind));
    m_state.counters.refusals.increment(code);
    (void)m_writer.send(Wire::refusal(reason, m_caller.id)); // a caller that has left needs no answer
    log_end("refused", code);
}

template <gateway_wire Wire>
void request_flow<Wire>::log_end(std::string_view end, std::string_view reason)
{
    const bool ordinary = end == "answered" || end == "caller_gone";
    m_state.counters.requests.increment(m_placing.service, std::string(end));
    m_state.log.write(
        ordinary ? log_weight::ordinary : log_weight::failure, "request",
        {{"request", m_caller.id.str()},
         {"end", end},
         {"reason", reason},
         {"last", m_last_reason},
         {"route", m_route == nullptr ? std::string_view{} : std::string_view(m_route->name.str())},
         {"customer", m_customer == nullptr ? std::string_view{} : std::string_view(m_customer->name.str())},
         {"homes", ordinary ? std::string{} : homes()},
         {"hop", std::int64_t{m_placing.own_region_only ? 1 : 0}},
         {"upstream", m_last_upstream},
         {"sends", std::int64_t{m_sends}},
         {"predicted_ms", std::int64_t{m_predicted.count()}},
         {"running", std::int64_t{m_running_there}},
         {"prompt", std::int64_t{m_caller.prompt_tokens}},
         {"first_ms", std::int64_t{m_first_byte.count()}},
         {"took_ms", std::int64_t{took().count()}},
         {"plan", static_cast<std::int64_t>(m_plan ? m_plan->version() : 0)}});
}

} // namespace cardamomstream

// The definitions of the other steps.
#include "cardamomstream/request/gateway/request_flow/admission.h"
#include "cardamomstream/request/gateway/request_flow/answering.h"
#include "cardamomstream/request/gateway/request_flow/sending.h"
