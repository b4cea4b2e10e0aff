#include "attempt_runner.h"

#include "answer_relay.h"
#include "run_evidence.h"

#include "cardamomstream/connection/use_fiber.h"
#include "cardamomstream/request/gateway/upstream_probe.h"

#include <random>

#include <boost/fiber/operations.hpp>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds connect_timeout{1'000};
constexpr unsigned too_many_requests = 429;
constexpr unsigned service_unavailable = 503;
constexpr unsigned first_server_error = 500;

attempt_failure failure_of(const error& value)
{
    switch (value.kind) {
    case error_kind::upstream_unavailable:
        return attempt_failure::connect;
    case error_kind::upstream_timeout:
        return attempt_failure::timeout;
    case error_kind::cancelled:
    case error_kind::request_timeout:
    case error_kind::ticket_refused:
        return attempt_failure::cancelled;
    case error_kind::overloaded:
        return attempt_failure::overloaded;
    default:
        return attempt_failure::reset;
    }
}

std::vector<event_field> fields_of(const route_choice& choice)
{
    std::vector<event_field> fields{{"region", choice.region.str()}};
    if (choice.action == route_action::forward) {
        fields.push_back({"vm", choice.peer.str()});
    }
    else {
        fields.push_back({"upstream", choice.upstream.str()});
    }
    for (const auto& note : choice.notes) {
        fields.push_back(
            {std::string(code_of(note.reason)), fmt::format("{} {:.1f}", note.subject, note.value)});
    }
    return fields;
}

/// Response of an upstream. One with neither length nor chunks is known to be incomplete when it is a stream
/// without an event, or when the upstream's process has ended.
class upstream_response {
public:
    upstream_response(std::unique_ptr<http_exchange> exchange, http_client& client, endpoint address)
        : m_exchange(std::move(exchange))
        , m_client(client)
        , m_address(std::move(address))
    {
    }

    const http_response_head& head() const { return m_exchange->head(); }

    result<std::optional<std::string>> next()
    {
        BOOST_OUTCOME_TRY(auto part, m_exchange->next());
        if (part) {
            m_has_bytes = m_has_bytes || !part->empty();
            return part;
        }
        const bool empty_stream = is_declared_event_stream(head()) && !m_has_bytes;
        if (head().ends_with_connection && (empty_stream || upstream_probe(m_client).has_ended(m_address))) {
            return error{error_kind::upstream_failed,
                         "the connection to the upstream broke: an answer without length was broken off",
                         "read the status before you submit again",
                         run_outcome::unknown,
                         {}};
        }
        return std::optional<std::string>{};
    }

private:
    std::unique_ptr<http_exchange> m_exchange;
    http_client& m_client;
    endpoint m_address;
    bool m_has_bytes = false;
};

/// Response of another VM, read from its forward stream.
class forwarded_response {
public:
    explicit forwarded_response(std::unique_ptr<forward_stream> stream)
        : m_stream(std::move(stream))
    {
    }

    result<void> read_head()
    {
        BOOST_OUTCOME_TRY(auto reply, m_stream->next());
        if (auto* head = std::get_if<http_response_head>(&reply)) {
            m_head = std::move(*head);
            return boost::outcome_v2::success();
        }
        return unexpected(reply);
    }

    const http_response_head& head() const { return m_head; }

    result<std::optional<std::string>> next()
    {
        BOOST_OUTCOME_TRY(auto reply, m_stream->next());
        if (auto* part = std::get_if<std::string>(&reply)) {
            return std::optional<std::string>(std::move(*part));
        }
        if (std::holds_alternative<forward_end>(reply)) {
            return std::optional<std::string>{};
        }
        return unexpected(reply);
    }

private:
    static error unexpected(const forward_reply& reply)
    {
        if (const auto* failed = std::get_if<error>(&reply)) {
            return *failed;
        }
        return {error_kind::peer_unavailable,
                "the answer of the other VM broke off",
                "read the status before you submit again",
                run_outcome::unknown,
                {}};
    }

    std::unique_ptr<forward_stream> m_stream;
    http_response_head m_head;
};

class attempt_runner {
public:
    attempt_runner(request_context& context, const upstream_work& work, answer_meter& meter)
        : m_context(context)
        , m_work(work)
        , m_meter(meter)
    {
        const auto& pools = context.view->rules->pools;
        if (const auto found = pools.find(work.pool); found != pools.end()) {
            m_pool = found->second;
        }
    }

    result<attempt_result> run();
    result<attempt_result> run_once(const single_attempt_options& options);

private:
    dispatch_query query() const;
    http_call call_to(const endpoint& address) const;
    result<attempt_result> attempt(dispatch_grant& grant);
    result<attempt_result> serve(dispatch_grant& grant);
    result<attempt_result> forward(dispatch_grant& grant);
    template <response_source Source>
    result<attempt_result> relay(dispatch_grant& grant, Source& source);
    void record_first_byte(dispatch_grant& grant);
    void end_grant(const dispatch_grant& grant, const result<attempt_result>& end);
    bool wait_for_retry(const error& failure, std::uint32_t attempts);

    request_context& m_context;
    const upstream_work& m_work;
    answer_meter& m_meter;
    pool_rule m_pool;
    run_evidence m_evidence;
    std::set<upstream_name> m_tried;
    std::set<vm_name> m_tried_peers;
};

dispatch_query attempt_runner::query() const
{
    dispatch_query query;
    query.id = m_context.id;
    query.customer = m_context.customer;
    query.cost = m_work.cost;
    query.deadline = std::min(m_context.deadline, boot_clock::now() + m_pool.first_byte_limit);
    query.route.pool = m_work.pool;
    query.route.permitted = m_context.permitted_regions();
    query.route.prefix_digest = m_work.prefix_digest;
    query.route.prefix_tokens = m_work.prefix_tokens;
    query.route.prompt_tokens = m_work.prompt_tokens;
    query.route.origin = m_context.origin;
    query.route.hop_count = m_context.hop_count;
    query.route.regions_passed = m_context.regions_passed;
    query.route.may_probe = m_work.repeat == repeat_policy::idempotent;
    query.route.tried = m_tried;
    query.route.tried_peers = m_tried_peers;
    return query;
}

http_call attempt_runner::call_to(const endpoint& address) const
{
    http_call call;
    call.address = address;
    call.method = m_work.method;
    call.target = m_work.target;
    call.headers = m_work.headers;
    call.borrowed_body = m_work.body;
    const auto left = m_context.time_left(boot_clock::now());
    call.limits = {connect_timeout, std::min(m_pool.first_byte_limit, left), m_pool.chunk_gap_limit,
                   std::min(m_pool.total_limit, left)};
    return call;
}

result<attempt_result> attempt_runner::run()
{
    m_context.parts.retries.with_lock([](retry_budget& budget) { budget.on_request(); });
    for (std::uint32_t attempts = 1;; ++attempts) {
        auto granted = m_context.parts.dispatch.acquire(query(), m_context.cancel);
        if (!granted) {
            return m_evidence.record_failure(granted.error());
        }
        auto& grant = granted.value();
        m_context.record(event_kind::request_routed, fields_of(grant.choice));
        auto end = attempt(grant);
        end_grant(grant, end);
        if (end) {
            return end;
        }
        const auto failure = m_evidence.record_failure(end.error());
        if (!wait_for_retry(failure, attempts)) {
            return failure;
        }
    }
}

result<attempt_result> attempt_runner::attempt(dispatch_grant& grant)
{
    if (m_context.cancel.cancelled()) {
        return error{error_kind::cancelled, "the caller has left", "", run_outcome::not_run, {}};
    }
    if (grant.choice.action == route_action::forward) {
        m_tried_peers.insert(grant.choice.peer);
        return forward(grant);
    }
    m_tried.insert(grant.choice.upstream);
    return serve(grant);
}

result<attempt_result> attempt_runner::serve(dispatch_grant& grant)
{
    BOOST_OUTCOME_TRY(auto exchange,
                      m_context.client().send(call_to(grant.choice.address), m_context.cancel));
    upstream_response answer(std::move(exchange), m_context.client(), grant.choice.address);
    return relay(grant, answer);
}

result<attempt_result> attempt_runner::forward(dispatch_grant& grant)
{
    const auto view = m_context.parts.views.load();
    const auto peer = view->vms.find(grant.choice.peer);
    if (peer == view->vms.end()) {
        return error{error_kind::peer_unavailable,
                     "the chosen VM has left",
                     "send the request again",
                     run_outcome::not_run,
                     {}};
    }
    auto request = make_forward(m_context, m_work);
    request.cause = m_context.record(event_kind::request_forwarded, {{"vm", grant.choice.peer.str()}});
    m_context.parts.counters.sent_away.increment(m_context.parts.config.region, grant.choice.region);
    BOOST_OUTCOME_TRY(auto stream, m_context.parts.peers.forward({grant.choice.peer, peer->second.peer},
                                                                 request, m_context.cancel));
    forwarded_response answer(std::move(stream));
    BOOST_OUTCOME_TRY(answer.read_head());
    return relay(grant, answer);
}

template <response_source Source>
result<attempt_result> attempt_runner::relay(dispatch_grant& grant, Source& source)
{
    const auto& head = source.head();
    m_evidence.record_answer();
    record_first_byte(grant);
    if (head.status == too_many_requests || head.status == service_unavailable) {
        return error{error_kind::overloaded, "the upstream is overloaded", "send the request again",
                     run_outcome::unknown, std::chrono::seconds{1}};
    }
    if (head.status >= first_server_error) {
        return error{error_kind::upstream_failed,
                     fmt::format("the upstream answered with status {}", head.status),
                     "send the request again if it may be repeated",
                     run_outcome::unknown,
                     {}};
    }
    if (is_declared_event_stream(head)) {
        BOOST_OUTCOME_TRY(relay_stream(m_context, source, m_meter, m_work.max_tokens));
        return attempt_result{head.status, {}, {}};
    }
    BOOST_OUTCOME_TRY(const auto body, read_body(source));
    if (m_work.max_tokens > 0) {
        m_meter.feed_body(body);
    }
    BOOST_OUTCOME_TRY(m_context.writer.send({caller_head(head, m_context.id), body}));
    return attempt_result{head.status, {}, {}};
}

void attempt_runner::record_first_byte(dispatch_grant& grant)
{
    const auto now = boot_clock::now();
    m_context.parts.dispatch.first_byte(grant, now);
    m_context.parts.counters.first_token_latency.observe(now - m_context.received, m_work.pool);
    m_context.record(event_kind::request_first_byte);
}

void attempt_runner::end_grant(const dispatch_grant& grant, const result<attempt_result>& end)
{
    if (end) {
        m_context.parts.dispatch.finish(grant, boot_clock::now());
        return;
    }
    m_context.parts.dispatch.fail(grant, failure_of(end.error()), boot_clock::now());
}

bool attempt_runner::wait_for_retry(const error& failure, std::uint32_t attempts)
{
    if (m_context.cancel.cancelled()) {
        return false;
    }
    retry_query asked;
    asked.repeat = m_work.repeat;
    asked.outcome = failure.outcome;
    asked.answer_begun = m_context.writer.started();
    asked.attempts_made = attempts;
    asked.deadline = m_context.deadline;
    thread_local std::mt19937_64 random{std::random_device{}()};
    const auto decision = m_context.parts.retries.with_lock(
        [&](retry_budget& budget) { return budget.next(asked, boot_clock::now(), random); });
    if (decision.verdict != retry_verdict::allowed) {
        return false;
    }
    m_context.record(event_kind::request_retried, {{"after", describe(failure)}});
    boost::this_fiber::sleep_for(decision.at - boot_clock::now());
    return true;
}

result<attempt_result> attempt_runner::run_once(const single_attempt_options& options)
{
    auto asked = query();
    asked.direct_region = options.region;
    // A direct connection is not a hop. As the origin is a peer, the region's router serves or refuses the
    // call and never forwards it.
    asked.route.origin = request_origin::peer;
    asked.route.hop_count = 0;
    asked.route.regions_passed.clear();
    BOOST_OUTCOME_TRY(auto grant, m_context.parts.dispatch.acquire(asked, m_context.cancel));
    m_context.record(event_kind::request_routed, fields_of(grant.choice));
    const auto run = [&]() -> result<attempt_result> {
        auto call = call_to(grant.choice.address);
        call.fresh_connection = true;
        call.before_write = options.before_write;
        BOOST_OUTCOME_TRY(auto exchange, m_context.client().send(call, m_context.cancel));
        record_first_byte(grant);
        upstream_response answer(std::move(exchange), m_context.client(), grant.choice.address);
        BOOST_OUTCOME_TRY(auto body, read_body(answer));
        return attempt_result{answer.head().status, std::move(body), answer.head()};
    };
    auto end = run();
    end_grant(grant, end);
    return end;
}

} // namespace

forward_request make_forward(const request_context& context, const upstream_work& work)
{
    forward_request request;
    request.id = context.id;
    request.customer = context.customer;
    request.key = context.key.value_or(key_digest{});
    request.pool = work.pool;
    request.route = work.route;
    request.method = work.method;
    request.target = work.target;
    request.headers = work.headers;
    request.body = work.body;
    request.hop_count = context.hop_count + 1;
    request.regions_passed = context.regions_passed;
    request.regions_passed.push_back(context.parts.config.region);
    request.time_left = context.time_left(boot_clock::now());
    request.cost = work.cost;
    request.charge_here = context.charge_elsewhere;
    return request;
}

result<attempt_result> run_attempts(request_context& context, const upstream_work& work, answer_meter& meter)
{
    return attempt_runner(context, work, meter).run();
}

result<attempt_result> run_once(request_context& context, const upstream_work& work,
                                const single_attempt_options& options)
{
    answer_meter unused_meter(0);
    return attempt_runner(context, work, unused_meter).run_once(options);
}

} // namespace cardamomstream
