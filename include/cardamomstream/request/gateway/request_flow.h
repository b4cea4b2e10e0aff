/// Handles one request: admission, placement, sending and answering.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/connection/contained_call.h"
#include "cardamomstream/connection/response_writer.h"
#include "cardamomstream/connection/traffic_thread.h"
#include "cardamomstream/request/gateway/answer_proof.h"
#include "cardamomstream/request/gateway/answer_use.h"
#include "cardamomstream/request/gateway/event_splitter.h"
#include "cardamomstream/request/gateway/gateway_state.h"
#include "cardamomstream/request/gateway/gateway_types.h"
#include "cardamomstream/request/gateway/hop_headers.h"
#include "cardamomstream/request/quarantine/request_digest.h"

#include <algorithm>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <fmt/format.h>

namespace cardamomstream {

/// Runs in one fiber of the traffic thread that owns `gateway_state`. A request that is not idempotent is
/// sent again only if it certainly has not run: the upstream stated so, or no connection was made.
template <gateway_wire Wire>
class request_flow {
public:
    request_flow(gateway_state& state, const http_request& request, response_writer& writer)
        : m_state(state)
        , m_request(request)
        , m_writer(writer)
        , m_caller_request(Wire::read_request(request))
        , m_started(boot_clock::now())
    {
    }

    /// Serves a request that a caller sent to this VM.
    void serve_caller()
    {
        if (auto refused = admit_caller()) {
            refuse(*refused);
            return;
        }
        serve();
    }

    /// Serves a request that another VM has admitted and passed on.
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
    enum class send_result {
        answered,     ///< the caller has its answer, or a part of one that can't be completed
        not_run,      ///< the request has not run at the receiver
        may_have_run, ///< no usable answer, and it is unknown whether the request ran
        caller_left,  ///< the caller has disconnected
    };

    /// The same, and as the load on the receiver's upstreams is judged.
    struct send_end {
        send_result result;
        send_outcome outcome;
    };

    /// Counts the request as one that is being served, whatever ends it.
    class serving_mark {
    public:
        serving_mark(gateway_state& state, served_request request)
            : m_state(state)
            , m_place(state.served.insert(state.served.end(), std::move(request)))
        {
            m_state.in_flight += 1;
            m_state.counters.in_flight.increment();
        }
        ~serving_mark()
        {
            m_state.counters.in_flight.decrement();
            m_state.served.erase(m_place);
            m_state.in_flight -= 1;
        }
        serving_mark(const serving_mark&) = delete;
        serving_mark& operator=(const serving_mark&) = delete;
        serving_mark(serving_mark&&) = delete;
        serving_mark& operator=(serving_mark&&) = delete;

    private:
        gateway_state& m_state;
        std::list<served_request>::iterator m_place;
    };

    /// Load that a send puts on an upstream until it has ended, also by an exception.
    class load_mark {
    public:
        load_mark(fleet_load& load, sent_request request)
            : sent(std::move(request))
            , m_load(load)
        {
        }
        ~load_mark() { end(send_outcome::abandoned); }
        load_mark(const load_mark&) = delete;
        load_mark& operator=(const load_mark&) = delete;
        load_mark(load_mark&&) = delete;
        load_mark& operator=(load_mark&&) = delete;

        void end(send_outcome outcome)
        {
            if (!std::exchange(m_ended, true)) {
                m_load.end_request(sent, outcome, boot_clock::now());
            }
        }

        sent_request sent;

    private:
        fleet_load& m_load;
        bool m_ended = false;
    };

    /// Announcements that this request is sent as the fleet's only one of its suspected subjects.
    struct trials {
        trials(gateway_state& state, const shared_part_ids& parts, const shared_part_ids& request,
               time_point now)
            : of_parts(state.quarantine, parts, now)
            , of_request(state.request_quarantine, request, now)
        {
        }
        bool may_begin(time_point now) const { return of_parts.may_begin(now) && of_request.may_begin(now); }

        prompt_quarantine::trial of_parts;
        prompt_quarantine::trial of_request;
    };

    class hedge;

    /// One further run of `first`, beside the one that is silent at `where`.
    request_flow(const request_flow& first, const placement& where);

    /// Used if neither the caller nor the route sets one.
    static constexpr std::chrono::milliseconds default_timeout{15'000};
    static constexpr std::chrono::milliseconds connect_timeout{300};     ///< inside a region
    static constexpr std::chrono::milliseconds hop_connect_timeout{700}; ///< between regions
    /// Added to twice the predicted time to the first byte of a stream.
    static constexpr std::chrono::milliseconds first_byte_margin{800};
    /// Of the own region, to which one request is passed on.
    static constexpr std::size_t max_vms_of_region = 2;
    /// Least time without a byte after which an idempotent call is sent again.
    static constexpr std::chrono::milliseconds min_answer_timeout{400};
    /// Between two events of a stream that can be resumed.
    static constexpr std::chrono::milliseconds stream_event_timeout{1'000};
    /// While an upstream is silent, until another one is looked for again.
    static constexpr std::chrono::milliseconds replacement_poll{150};
    /// Of a call whose upstream has been silent for long, until its run is checked again.
    static constexpr std::chrono::milliseconds lost_run_poll{500};
    /// While a hedge runs, until its end is looked for again.
    static constexpr std::chrono::milliseconds hedge_poll{10};
    /// While others use the memory for buffered answers, until it is asked for again.
    static constexpr std::chrono::milliseconds answer_memory_poll{10};
    /// For bytes that came while it was found out that the run is lost.
    static constexpr std::chrono::milliseconds last_read_time{5};
    /// Connections in a row that are neither made nor refused.
    static constexpr int probes_until_unreachable = 2;
    /// Callers abandon a stream after the longest of this time and multiples of the route's objectives.
    static constexpr std::chrono::milliseconds min_caller_patience{2'000};
    static constexpr int patience_in_objectives = 4;
    static constexpr int patience_in_event_gaps = 8;
    /// An answer that goes on for this long shows that the prompt does no harm to the upstream.
    static constexpr std::chrono::milliseconds lasting_answer{1'000};
    /// Until the reports of all VMs that know where a stream began have come.
    static constexpr std::chrono::milliseconds origin_report_time{600};
    /// Until the list of upstreams has been read anew, for a stream of which nothing is known.
    static constexpr std::chrono::milliseconds list_read_timeout{400};
    static constexpr std::chrono::milliseconds list_read_poll{5};
    /// With less time left, a failure is reported as a timeout.
    static constexpr std::chrono::milliseconds timeout_margin{60};
    /// Until another VM is asked, after this one has stopped.
    static constexpr std::chrono::milliseconds other_vm_delay{100};

    static constexpr std::string_view nothing_sent = "nothing_sent";
    static constexpr std::string_view ends_under_part =
        "upstreams have ended while they answered prompts with the same part";
    static constexpr std::string_view ends_under_request =
        "upstreams have ended while they answered this request";

    /// Answers to other requests that are passed over before the request's own one, and the bytes of each.
    static constexpr int max_foreign_answers = 8;
    static constexpr std::size_t max_foreign_bytes = 256 * 1024;

    /// The connection is closed after a rejection whose body is longer or takes longer.
    static constexpr std::size_t max_rejection_bytes = 16 * 1024;
    static constexpr std::chrono::milliseconds rejection_timeout{100};

    std::optional<error> admit_caller();
    std::optional<error> admit_hop(const hop_details& hop);
    static error unknown_here();
    error missing_in_plan(error reason) const;
    static error plan_outdated();
    std::optional<error> check_homes_known();
    std::optional<error> check_stopping() const;
    std::optional<error> require_origin();
    void record_unknown_origin(const pool_name& service);
    void await_list_read(const pool_name& service);
    static error not_resumable(std::string_view reason);
    void begin_stream_at(const std::optional<std::string>& version);
    void discard_uncertain_version();
    http_response_head answer_head(const http_response_head& head) const;
    void init_placing_request(const pool_name& service, int urgency);
    void serve();
    void run_attempts();
    void end_without_send(const error& reason, std::string_view no_retry);
    placement place_next();
    void apply_plan_in_force();
    static bool is_placed(const placement& where);
    send_result send(const placement& where);
    void record_send(const placement& where, send_result result);
    void run_hedge();
    std::chrono::milliseconds wait_for_hedge(const placement& where, std::chrono::milliseconds silent);
    send_result end_hedge(send_result result);
    void merge_hedge();
    void begin_send(const placement& where);
    send_result send_to_upstream(const placement& where);
    send_result send_to_vm(const placement& where);
    send_result handle_answer(http_exchange& exchange, sent_request* sent, const placement& where);
    std::optional<answer_proof> await_own_answer(http_exchange& exchange, bool by_vm, const placement& where);
    void note_foreign_answer(const http_response_head& head, bool by_vm, const placement& where);
    void record_statements(const http_response_head& head, const sent_request& sent);
    static void drain_rejection(http_exchange& exchange);
    send_result relay_buffered(http_exchange& exchange, sent_request* sent, const placement& where,
                               bool repeatable_failure);
    bool await_answer_memory(std::size_t bytes);
    send_result deliver(const http_response& answer);
    send_result relay_stream(http_exchange& exchange, sent_request* sent, const placement& where);
    send_result relay_answer(http_exchange& exchange, sent_request* sent, const placement& where);
    send_result use_answer(http_exchange& exchange, sent_request* sent, const placement& where);
    send_result relay_part(std::string part, const http_response_head& head, sent_request* sent,
                           const placement& where, answer_memory::reservation& held);
    send_result end_stream(http_exchange& exchange, const sent_request* sent, const placement& where);
    send_result reject_events(std::string_view reason);
    void record_resumption(const http_response_head& head, const placement& where, std::string_view after,
                           send_result result);
    std::string_view why_stream_ends() const;
    bool shows_orderly_end(const http_exchange& exchange) const;
    send_result end_broken_stream();
    void note_incomplete_event(const placement& where);
    bool is_broken_end(const sent_request* sent, const placement& where);
    void set_framing(http_response_head& head) const;
    bool process_has_ended(const sent_request* sent, const placement& where);
    void note_broken_end();
    send_result write_events(std::string_view bytes, const http_response_head& head);
    bool may_retry(send_result result);
    void give_up(send_result result);
    void end_at_stop();
    error stopped_unanswered(send_result result) const;
    void refuse(const error& reason);
    void refuse_placing(const placement& where);
    std::string permitted_regions() const;
    bool permitted_anywhere() const;
    bool permits(const region_name& region) const;
    version_number plan_in_force_version() const;
    version_number homes_plan_version() const;
    std::string shared_parts_text() const;
    std::optional<error> check_quarantine(std::optional<trials>& trial);
    static error quarantined(std::string_view reason, std::chrono::milliseconds retry_after);
    void note_failure(const error& failure);
    void note_success(time_point now);
    void note_completion(time_point now);
    void check_upstream_end(const placement& where, const sent_request& sent);
    void note_no_process(const sent_request& sent, std::string_view sign);
    void log_upstream_end(const sent_request& sent, std::string_view sign);
    bool needs_new_connection(const endpoint& address) const;
    send_end exchange_with(const http_call& call, const placement& where, sent_request* sent);
    send_end answered_end(send_result result) const;
    send_end unanswered_end(const error& failure);
    void log_failed_send(const placement& where, send_outcome outcome);
    void log_left_run(const placement& where, std::chrono::milliseconds silent);
    void log_end(std::string_view end, std::string_view reason);

    void limit_silence(http_call& call, const placement& where, const sent_request* sent,
                       std::chrono::milliseconds connect);
    std::chrono::milliseconds stall_timeout(const placement& where) const;
    std::chrono::milliseconds caller_patience() const;
    std::chrono::milliseconds wait_on(const placement& where, const sent_request* sent,
                                      std::chrono::milliseconds silent);
    std::chrono::milliseconds wait_on_stream(const placement& where, const sent_request* sent,
                                             std::chrono::milliseconds silent);
    /// Keeps the request from being placed there again.
    static void exclude(placing_request& request, const placement& where);
    /// What the quarantines decide on the request now.
    struct subject_decisions {
        quarantine_decision of_part;
        quarantine_decision of_request;
        quarantine_verdict verdict() const { return std::max(of_part.verdict, of_request.verdict); }
    };
    subject_decisions quarantine_decisions() const;
    bool gives_up_stalled(const placement& where, const sent_request* sent,
                          std::chrono::milliseconds without_event);
    void note_silence(const placement& where, const sent_request* sent, std::chrono::milliseconds silent);
    bool seeks_replacement(const placement& where);
    bool is_run_lost(const placement& where, const sent_request* sent);
    bool take_retry();
    bool start_hedge(const placement& where, std::chrono::milliseconds silent);
    retry_decision decide_retry(send_result result, time_point now);
    upstream_call call_details(const placement& where) const;
    std::chrono::milliseconds time_left() const
    {
        return std::chrono::floor<std::chrono::milliseconds>(m_deadline - boot_clock::now());
    }
    std::chrono::milliseconds elapsed() const
    {
        return std::chrono::floor<std::chrono::milliseconds>(boot_clock::now() - m_started);
    }
    /// How often this VM may run the request. A VM to which it was passed on runs it at most once, so that
    /// the first VM knows how often it ran.
    std::uint32_t max_runs() const
    {
        return m_placing_request.own_region_only ? 1 : std::max(1U, m_route->max_attempts);
    }
    bool is_stream() const { return m_route->kind == call_kind::stream; }

    gateway_state& m_state;
    const http_request& m_request;
    response_writer& m_writer;
    caller_request m_caller_request;
    time_point m_started;
    time_point m_deadline;
    std::shared_ptr<const service_plan> m_plan;       ///< that admitted the request
    std::shared_ptr<const service_plan> m_newer_plan; ///< whose homes bind as well; null before one came
    const plan_route* m_route = nullptr;
    const plan_customer* m_customer = nullptr;
    placing_request m_placing_request;
    shared_part_ids m_shared_parts;   ///< of the prompt
    shared_part_ids m_request_digest; ///< the single id under which the request itself may be suspected
    cancellation m_cancel;
    bool m_ended_by_stop = false; ///< and cancelled; the caller awaits an answer
    event_splitter m_events;
    time_point m_last_event_at;                           ///< when the last complete event of the stream came
    std::optional<answer_memory::reservation> m_buffered; ///< for the last buffered answer
    /// An upstream's failure, sent to the caller unless a retry succeeds.
    std::optional<http_response> m_held_failure;
    double m_charged_amount = 0;   ///< taken from the customer's allowance
    bool m_stream_started = false; ///< the head of a stream was sent to the caller
    /// The end of the caller's stream states that it is complete. Unset before the stream has started.
    bool m_stream_has_chunks = false;
    bool m_may_have_run = false;     ///< the request has run, or may have
    std::uint32_t m_sends = 0;       ///< to upstreams and other VMs
    std::vector<endpoint> m_sent_to; ///< addresses of those that brought no usable answer
    std::uint32_t m_runs = 0;        ///< sends that ran, or may have, without a usable answer
    std::string m_last_failure;      ///< why the last send failed; for the log
    std::string_view m_no_retry;     ///< why it wasn't sent again; for the log
    std::string m_last_upstream;
    region_name m_sent_region;      ///< of the last send's upstream
    version_number m_sent_plan = 0; ///< the plan in force at the last send; 0 before the first
    /// Software version of the last send's upstream; empty if it isn't certain.
    std::optional<std::string> m_sent_version;
    /// Of the last send; empty if another VM hasn't told to which process it sent the request.
    std::optional<upstream_process> m_sent_process;
    std::optional<std::chrono::milliseconds> m_last_pause; ///< asked for by the last send's upstream
    // Of the last send:
    std::optional<time_point> m_answer_began_at; ///< when the head of its answer came
    unsigned m_answer_status = 0;                ///< 0 without an answer to this request
    std::string_view m_connection = "none";      ///< new, kept or none; for the log
    std::string_view m_not_run_evidence;         ///< empty if it may have run; for the log
    bool m_unframed = false;                     ///< its answer has neither a length nor chunks
    bool m_answer_lasts = false;     ///< the answer has gone on for `lasting_answer`, or is complete
    bool m_connection_broke = false; ///< the other side closed it before the answer's end
    bool m_silence_recorded = false;
    bool m_run_lost = false;     ///< as far as is known, and nothing has come since
    int m_unanswered_probes = 0; ///< in a row
    time_point m_replacement_sought_at;
    bool m_replacement_permitted = false; ///< by the retry budget, as this upstream is silent
    std::optional<std::chrono::milliseconds> m_final_refusal; ///< by the VM to which it was passed on
    std::chrono::milliseconds m_predicted{0};
    std::uint32_t m_running_at_upstream = 0;
    std::chrono::milliseconds m_first_byte{0}; ///< from the request's arrival to the first byte of the answer
    std::chrono::milliseconds m_waited_before{0}; ///< at the VM that passed the request on
    bool m_is_hedge = false;
    std::optional<http_response> m_hedge_answer; ///< of a flow that is a hedge
    std::unique_ptr<hedge> m_hedge;              ///< beside the running send; ends before the other members
};

/// A second run of an idempotent call whose upstream is silent, in a fiber of its own. Its end cancels the
/// run.
template <gateway_wire Wire>
class request_flow<Wire>::hedge {
public:
    hedge(const request_flow& first, const placement& where)
        : flow(first, where)
        , m_fiber(traffic_thread::start_here([this] {
            if (!run_contained("a hedge failed", [this] { flow.run_hedge(); })) {
                flow.m_runs += 1;
            }
            m_ended = true;
        }))
    {
    }
    ~hedge()
    {
        cancel();
        wait();
    }
    hedge(const hedge&) = delete;
    hedge& operator=(const hedge&) = delete;
    hedge(hedge&&) = delete;
    hedge& operator=(hedge&&) = delete;

    bool ended() const { return m_ended; }
    bool has_answer() const { return m_ended && flow.m_hedge_answer.has_value(); }
    void cancel() { flow.m_cancel.cancel(); }
    void wait()
    {
        if (m_fiber.joinable()) {
            m_fiber.join();
        }
    }

    request_flow flow;

private:
    bool m_ended = false;
    boost::fibers::fiber m_fiber;
};

template <gateway_wire Wire>
request_flow<Wire>::request_flow(const request_flow& first, const placement& where)
    : m_state(first.m_state)
    , m_request(first.m_request)
    , m_writer(first.m_writer)
    , m_caller_request(first.m_caller_request)
    , m_started(first.m_started)
    , m_deadline(first.m_deadline)
    , m_plan(first.m_plan)
    , m_newer_plan(first.m_newer_plan)
    , m_route(first.m_route)
    , m_customer(first.m_customer)
    , m_placing_request(first.m_placing_request)
    , m_shared_parts(first.m_shared_parts)
    , m_request_digest(first.m_request_digest)
    , m_sends(first.m_sends)
    , m_sent_to(first.m_sent_to)
    , m_waited_before(first.m_waited_before)
    , m_is_hedge(true)
{
    exclude(m_placing_request, where);
    m_sent_to.push_back(where.address);
}

template <gateway_wire Wire>
void request_flow<Wire>::serve()
{
    m_writer.on_caller_gone([this] { m_cancel.cancel(); });
    const serving_mark served(m_state, {m_caller_request.id, m_route->name, m_started,
                                        m_placing_request.own_region_only, [this] { end_at_stop(); }});
    if (m_route->resumable) {
        m_events.continue_after(m_caller_request.last_event);
    }
    if (m_cancel.cancelled()) {
        log_end("caller_gone", "before the request was read");
    }
    else {
        run_attempts();
    }
    if (!m_may_have_run && m_customer != nullptr) {
        m_state.quota.refund(m_customer->name, m_charged_amount);
    }
}

template <gateway_wire Wire>
void request_flow<Wire>::run_attempts()
{
    m_waited_before = m_placing_request.waited;
    while (true) {
        std::optional<trials> trial;
        if (const auto refused = check_quarantine(trial)) {
            end_without_send(*refused, "quarantined");
            return;
        }
        if (const auto refused = check_homes_known()) {
            end_without_send(*refused, "plan_outdated");
            return;
        }
        discard_uncertain_version();
        if (const auto reason = why_stream_ends(); !reason.empty()) {
            m_last_failure += "; the stream can't go on: ";
            m_last_failure += reason;
            m_no_retry = m_placing_request.version ? "event_without_number" : "version_uncertain";
            give_up(send_result::may_have_run);
            return;
        }
        const auto where = place_next();
        if (!is_placed(where)) {
            m_no_retry = to_text(where.verdict);
            if (m_may_have_run || m_stream_started || m_held_failure) {
                give_up(send_result::may_have_run);
                return;
            }
            refuse_placing(where);
            return;
        }
        const auto result = end_hedge(send(where));
        if (result == send_result::answered || result == send_result::caller_left) {
            if (result == send_result::caller_left) {
                discard_uncertain_version(); // the caller may take the stream up again
                m_may_have_run = true;       // not refunded: it is unknown whether it ran
                if (m_ended_by_stop && !m_writer.started()) {
                    give_up(send_result::may_have_run);
                }
                else {
                    log_end("caller_gone", m_last_failure);
                }
            }
            return;
        }
        record_send(where, result);
        if (!may_retry(result)) {
            give_up(result);
            return;
        }
    }
}

/// Ends a request that may not be sent, or not once more. `no_retry`: why; for the log.
template <gateway_wire Wire>
void request_flow<Wire>::end_without_send(const error& reason, std::string_view no_retry)
{
    m_last_failure = reason.message;
    m_no_retry = no_retry;
    if (m_may_have_run || m_stream_started || m_held_failure) {
        give_up(send_result::may_have_run);
        return;
    }
    refuse(reason);
}

template <gateway_wire Wire>
placement request_flow<Wire>::place_next()
{
    m_placing_request.waited = m_waited_before + elapsed();
    m_placing_request.time_left = time_left();
    m_placing_request.sent_before = m_sends > 0;
    apply_plan_in_force();
    return m_state.placing.place(m_placing_request, *m_plan, m_state.load, boot_clock::now());
}

/// Homes bind each send, as the plan in force then states them. The other terms of a request under way
/// remain those of its admission.
template <gateway_wire Wire>
void request_flow<Wire>::apply_plan_in_force()
{
    const auto& plan = m_state.deployment->plan;
    if (!plan || plan == m_plan || plan == m_newer_plan) {
        return;
    }
    const auto* route = plan->find_route(m_caller_request.host, m_request.path());
    if (route == nullptr) {
        route = plan->find_route(m_route->name);
    }
    const bool open_to_all = route == nullptr ? m_route->open_to_all : route->open_to_all;
    const auto* customer = open_to_all ? nullptr : plan->find_customer_by_key(m_caller_request.key);
    if (customer == nullptr && m_customer != nullptr) {
        customer = plan->find_customer(m_customer->name);
    }
    m_placing_request.newer_homes = {route, customer};
    m_newer_plan = plan;
}

template <gateway_wire Wire>
bool request_flow<Wire>::is_placed(const placement& where)
{
    return where.verdict == placing_verdict::here || where.verdict == placing_verdict::other_vm ||
           where.verdict == placing_verdict::other_region;
}

template <gateway_wire Wire>
typename request_flow<Wire>::send_result request_flow<Wire>::send(const placement& where)
{
    begin_send(where);
    return where.verdict == placing_verdict::here ? send_to_upstream(where) : send_to_vm(where);
}

/// Records a send that brought no usable answer. The request isn't placed there again.
template <gateway_wire Wire>
void request_flow<Wire>::record_send(const placement& where, send_result result)
{
    if (result == send_result::may_have_run) {
        m_may_have_run = true;
        m_runs += 1;
    }
    exclude(m_placing_request, where);
    m_sent_to.push_back(where.address);
}

template <gateway_wire Wire>
void request_flow<Wire>::exclude(placing_request& request, const placement& where)
{
    if (where.verdict == placing_verdict::here) {
        request.tried.push_back(where.upstream);
        return;
    }
    if (where.verdict == placing_verdict::other_vm) {
        request.tried_vms.push_back(where.address);
    }
    if (where.verdict == placing_verdict::other_region || request.tried_vms.size() >= max_vms_of_region) {
        request.refused_by.push_back(where.region);
    }
}

template <gateway_wire Wire>
typename request_flow<Wire>::subject_decisions request_flow<Wire>::quarantine_decisions() const
{
    const bool passed_on = m_placing_request.own_region_only;
    const auto now = boot_clock::now();
    return {m_state.quarantine.check(m_shared_parts, passed_on, now),
            m_state.request_quarantine.check(m_request_digest, passed_on, now)};
}

/// Empty unless the stream has begun and no other upstream can go on with it.
template <gateway_wire Wire>
std::string_view request_flow<Wire>::why_stream_ends() const
{
    if (!m_stream_started) {
        return {};
    }
    if (!m_placing_request.version) {
        return "its software version isn't certain";
    }
    if (!m_events.continuable()) {
        return "its last event has no number";
    }
    return {};
}

template <gateway_wire Wire>
void request_flow<Wire>::begin_send(const placement& where)
{
    m_sends += 1;
    m_predicted = where.predicted;
    m_running_at_upstream = where.running;
    m_last_upstream = where.upstream.str();
    m_sent_region = where.region;
    m_sent_plan = plan_in_force_version();
    m_sent_version = where.version;
    m_sent_process.reset();
    if (where.verdict == placing_verdict::here) {
        m_sent_process = {where.upstream, where.started_unix_ms};
    }
    m_answer_began_at.reset();
    m_answer_status = 0;
    m_connection = "none";
    m_not_run_evidence = {};
    m_unframed = false;
    m_answer_lasts = false;
    m_connection_broke = false;
    m_silence_recorded = false;
    m_run_lost = false;
    m_unanswered_probes = 0;
    m_replacement_permitted = false;
    m_events.begin_run();
}

template <gateway_wire Wire>
bool request_flow<Wire>::may_retry(send_result result)
{
    if (m_runs >= max_runs() || m_final_refusal) {
        m_no_retry = m_final_refusal ? "final_refusal" : "runs_used";
        return false;
    }
    if (m_replacement_permitted) { // at once, while the upstream that was found for it is free
        m_state.counters.repeats.increment(m_placing_request.service);
        return !m_cancel.cancelled();
    }
    const auto now = boot_clock::now();
    const auto decision = decide_retry(result, now);
    if (decision.verdict != retry_verdict::allowed) {
        m_no_retry = to_text(decision.verdict);
        return false;
    }
    m_state.counters.repeats.increment(m_placing_request.service);
    boost::this_fiber::sleep_for(decision.at - now);
    return !m_cancel.cancelled();
}

/// Takes one retry of the budget if it is allowed.
template <gateway_wire Wire>
retry_decision request_flow<Wire>::decide_retry(send_result result, time_point now)
{
    retry_query query;
    query.repeat = m_route->repeatable() ? repeat_policy::idempotent : repeat_policy::at_most_once;
    query.outcome = result == send_result::not_run ? run_outcome::not_run : run_outcome::unknown;
    query.attempts_made = m_sends;
    query.reached_nobody = m_not_run_evidence == nothing_sent;
    query.deadline = m_deadline;
    return m_state.retry_budget_for(m_placing_request.service).next(query, now, m_state.random);
}

template <gateway_wire Wire>
void request_flow<Wire>::give_up(send_result result)
{
    if (m_stream_started) {
        m_writer.abort_stream();
        log_end("cut", m_last_failure);
        return;
    }
    if (m_held_failure) {
        (void)m_writer.send(*m_held_failure); // fails only if the caller has disconnected
        log_end("upstream_failed", m_last_failure);
        return;
    }
    if (m_ended_by_stop) {
        refuse(stopped_unanswered(result));
        return;
    }
    if (result == send_result::not_run && !m_may_have_run) {
        using namespace std::chrono_literals;
        if (m_final_refusal) {
            refuse(quarantined(ends_under_request, *m_final_refusal));
            return;
        }
        refuse({error_kind::upstream_unavailable, "no upstream took the request", "try again", {}, 300ms});
        return;
    }
    const bool late = time_left() <= timeout_margin;
    refuse({late ? error_kind::upstream_timeout : error_kind::upstream_failed,
            "the upstream gave no whole answer",
            "read the status before you submit again",
            run_outcome::unknown,
            {}});
}

/// Answers the request before the process ends. A stream that has begun is left as it is.
template <gateway_wire Wire>
void request_flow<Wire>::end_at_stop()
{
    if (!m_writer.started()) {
        m_ended_by_stop = true;
        m_cancel.cancel();
    }
}

template <gateway_wire Wire>
error request_flow<Wire>::stopped_unanswered(send_result result) const
{
    if (result == send_result::not_run && !m_may_have_run) {
        return {error_kind::stopping, "this VM stopped before an upstream took the request",
                "send it to another VM", run_outcome::not_run, other_vm_delay};
    }
    error unknown{error_kind::outcome_unknown,
                  "this VM stopped before the upstream had answered",
                  "read the status before you submit again",
                  run_outcome::unknown,
                  {}};
    if (m_route->repeatable()) {
        unknown.remedy = "send it to another VM; it may run twice";
        unknown.retry_after = other_vm_delay;
    }
    return unknown;
}

template <gateway_wire Wire>
void request_flow<Wire>::refuse_placing(const placement& where)
{
    m_last_failure = std::string(to_text(where.verdict));
    m_predicted = where.predicted;
    if (const auto since =
            evacuated_since(m_state.deployment->evacuated, m_state.settings.regions, *m_route, m_customer)) {
        refuse({error_kind::region_evacuated, "all data centres in which the request may run are evacuated",
                "come back after the time given", run_outcome::not_run,
                evacuation_retry_delay(*since, boot_clock::now())});
        return;
    }
    if (m_placing_request.version && where.verdict == placing_verdict::no_upstream) {
        refuse(not_resumable("no upstream of the software version that began the stream serves any more"));
        return;
    }
    if (where.verdict == placing_verdict::no_upstream && !permitted_anywhere()) {
        refuse({error_kind::no_permitted_region, "the homes have changed since the request came",
                "send it again", run_outcome::not_run, other_vm_delay});
        return;
    }
    const bool late = where.verdict == placing_verdict::overloaded;
    const bool limited =
        where.verdict == placing_verdict::limited || where.verdict == placing_verdict::paused;
    refuse({late || limited ? error_kind::overloaded : error_kind::upstream_unavailable,
            late      ? "every upstream would answer too late"
            : limited ? "every upstream has been sent as many requests as it accepts"
                      : "no upstream can take the request now",
            "come back after the time given", run_outcome::not_run, where.retry_after});
}

template <gateway_wire Wire>
error request_flow<Wire>::not_resumable(std::string_view reason)
{
    return {error_kind::stream_not_resumable,
            std::string(reason),
            "begin the stream anew",
            run_outcome::not_run,
            {}};
}

/// Regions in which the request may run, as `describe_homes` writes them.
template <gateway_wire Wire>
std::string request_flow<Wire>::permitted_regions() const
{
    if (!residency{m_route, m_customer}.binds() && !m_placing_request.newer_homes.binds()) {
        return {};
    }
    std::set<region_name> regions;
    std::set<region_name> permitted;
    for (const auto& [data_centre, region] : m_state.settings.regions) {
        regions.insert(region);
        if (permits(region)) {
            permitted.insert(region);
        }
    }
    return describe_homes(regions, permitted);
}

/// False if the homes by which the request was admitted and those in force have no region in common.
template <gateway_wire Wire>
bool request_flow<Wire>::permitted_anywhere() const
{
    const auto& regions = m_state.settings.regions;
    return std::any_of(regions.begin(), regions.end(),
                       [this](const auto& data_centre) { return permits(data_centre.second); });
}

template <gateway_wire Wire>
bool request_flow<Wire>::permits(const region_name& region) const
{
    return residency{m_route, m_customer}.permits(region) && m_placing_request.newer_homes.permits(region);
}

/// Version of the plan that new requests are admitted by now.
template <gateway_wire Wire>
version_number request_flow<Wire>::plan_in_force_version() const
{
    const auto& deployment = m_state.deployment;
    return deployment && deployment->plan ? deployment->plan->version() : 0;
}

/// Version of the newest plan whose homes were looked up for the request; 0 before any.
template <gateway_wire Wire>
version_number request_flow<Wire>::homes_plan_version() const
{
    if (m_newer_plan) {
        return m_newer_plan->version();
    }
    return m_plan && m_route != nullptr ? m_plan->version() : 0;
}

/// Ids of the prompt's parts without the last one, in hexadecimal, separated by spaces.
template <gateway_wire Wire>
std::string request_flow<Wire>::shared_parts_text() const
{
    return fmt::format("{:x}", fmt::join(m_shared_parts, " "));
}

/// Refuses a request that ends upstreams, or a part of its prompt does. When the request may be sent as the
/// fleet's only one, announces that in `trial` and waits until all VMs know.
template <gateway_wire Wire>
std::optional<error> request_flow<Wire>::check_quarantine(std::optional<trials>& trial)
{
    const auto decisions = quarantine_decisions();
    const auto& [part, request] = decisions;
    const auto reason = request.verdict == quarantine_verdict::refused ? ends_under_request : ends_under_part;
    if (decisions.verdict() == quarantine_verdict::refused) {
        return quarantined(reason, std::max(part.retry_after, request.retry_after));
    }
    if (decisions.verdict() == quarantine_verdict::trial) {
        if (time_left() <= 2 * prompt_quarantine::trial_notice) {
            return quarantined(reason, prompt_quarantine::trial_notice);
        }
        trial.emplace(m_state, m_shared_parts, m_request_digest, boot_clock::now());
        m_state.on_quarantine_changes({}, m_state.settings.vm);
        boost::this_fiber::sleep_for(prompt_quarantine::trial_notice);
        if (!trial->may_begin(boot_clock::now())) {
            return quarantined(reason, prompt_quarantine::trial_notice);
        }
    }
    return std::nullopt;
}

template <gateway_wire Wire>
error request_flow<Wire>::quarantined(std::string_view reason, std::chrono::milliseconds retry_after)
{
    return {error_kind::prompt_quarantined, std::string(reason),
            "change the prompt, or come back after the time given", run_outcome::not_run, retry_after};
}

template <gateway_wire Wire>
void request_flow<Wire>::refuse(const error& reason)
{
    const auto code = std::string(code_of(reason.kind));
    m_state.counters.refusals.increment(code);
    auto answer = Wire::refusal(reason, m_caller_request.id);
    if (reason.kind == error_kind::prompt_quarantined && m_placing_request.own_region_only) {
        mark_final_refusal(answer.head.headers, reason.retry_after.value_or(std::chrono::milliseconds{0}));
    }
    (void)m_writer.send(answer); // fails only if the caller has disconnected
    log_end("refused", code);
}

template <gateway_wire Wire>
void request_flow<Wire>::log_end(std::string_view end, std::string_view reason)
{
    const bool ordinary = end == "answered" || end == "caller_gone";
    m_state.counters.requests.increment(m_placing_request.service, std::string(end));
    m_state.log.write(
        ordinary ? log_weight::ordinary : log_weight::failure, "request",
        {{"request", m_caller_request.id.str()},
         {"end", end},
         {"reason", reason},
         {"last", m_last_failure},
         {"no_retry", m_no_retry},
         {"route", m_route == nullptr ? std::string_view{} : std::string_view(m_route->name.str())},
         {"customer", m_customer == nullptr ? std::string_view{} : std::string_view(m_customer->name.str())},
         {"homes", permitted_regions()},
         {"homes_plan", static_cast<std::int64_t>(homes_plan_version())},
         {"hop", std::int64_t{m_placing_request.own_region_only ? 1 : 0}},
         {"upstream", m_last_upstream},
         {"region", m_sent_region.str()},
         {"version", m_sent_version.value_or("")},
         {"unframed", std::int64_t{m_unframed ? 1 : 0}},
         {"resumes", m_caller_request.resumes.str()},
         {"last_event", m_caller_request.last_event},
         {"sends", std::int64_t{m_sends}},
         {"runs", std::int64_t{m_runs}},
         {"predicted_ms", std::int64_t{m_predicted.count()}},
         {"running", std::int64_t{m_running_at_upstream}},
         {"prompt", std::int64_t{m_caller_request.prompt_tokens}},
         {"first_ms", std::int64_t{m_first_byte.count()}},
         {"took_ms", std::int64_t{elapsed().count()}},
         {"plan", static_cast<std::int64_t>(m_plan ? m_plan->version() : 0)},
         {"sent_plan", static_cast<std::int64_t>(m_sent_plan)}});
}

} // namespace cardamomstream

// Definitions of the other member functions.
#include "cardamomstream/request/gateway/request_flow/admission.h"
#include "cardamomstream/request/gateway/request_flow/answering.h"
#include "cardamomstream/request/gateway/request_flow/hedging.h"
#include "cardamomstream/request/gateway/request_flow/sending.h"
