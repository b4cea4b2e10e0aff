#include "cardamomstream/request/request_service.h"

#include "answer_relay.h"
#include "attempt_runner.h"
#include "caller_auth.h"
#include "guarded_call.h"
#include "loan_broker.h"
#include "model_call.h"
#include "request_context.h"
#include "request_target.h"
#include "serving_answers.h"

#include <algorithm>
#include <set>

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds max_request_timeout{300'000};
constexpr std::chrono::milliseconds connection_limit_retry_after{1'000};

error permission_denied(const std::string& what)
{
    return {error_kind::permission_denied,
            "this customer may not use " + what,
            "ask the operators for a rule",
            run_outcome::not_run,
            {}};
}

} // namespace

class request_service::impl : public std::enable_shared_from_this<request_service::impl> {
public:
    impl(serving_parts parts, traffic_group& threads)
        : m_parts(parts)
        , m_threads(threads)
        , m_active(threads.size())
    {
    }

    void serve(const http_request& request, std::size_t thread, response_writer& writer);
    void serve_forwarded(const vm_name& sender, const forward_request& request, std::size_t thread,
                         response_writer& writer);
    void cancel_withdrawn_keys();
    std::size_t running() const { return m_running; }

private:
    /// Registers a request as active for the lifetime of the object.
    class active_request {
    public:
        active_request(impl& owner, request_context& context)
            : m_owner(owner)
            , m_context(context)
        {
            m_owner.m_active[context.thread].insert(&context);
            ++m_owner.m_running;
            m_owner.m_parts.counters.requests_in_flight.increment();
        }
        ~active_request()
        {
            m_owner.m_active[m_context.thread].erase(&m_context);
            --m_owner.m_running;
            m_owner.m_parts.counters.requests_in_flight.decrement();
        }
        active_request(const active_request&) = delete;
        active_request& operator=(const active_request&) = delete;
        active_request(active_request&&) = delete;
        active_request& operator=(active_request&&) = delete;

    private:
        impl& m_owner;
        request_context& m_context;
    };

    result<void> handle(request_context& context, const http_request& request);
    result<void> handle_target(request_context& context, const http_request& request,
                               const request_target& target);
    result<void> handle_model(request_context& context, const http_request& request);
    result<void> handle_route(request_context& context, const http_request& request,
                              const route_target& target);
    result<void> handle_forwarded(request_context& context, const forward_request& request);
    result<void> run_charged(request_context& context, const upstream_work& work, token_count charge);
    result<void> check_connections(const request_context& context) const;
    void finish_request(request_context& context, const result<void>& end);

    serving_parts m_parts;
    traffic_group& m_threads;
    std::vector<std::set<request_context*>> m_active; ///< by thread; each set is used on its own thread only
    std::atomic<std::size_t> m_running = 0;
};

void request_service::impl::serve(const http_request& request, std::size_t thread, response_writer& writer)
{
    request_context context(m_parts, writer, thread);
    context.id = new_request_id();
    context.deadline = context.received + requested_timeout(request.headers, max_request_timeout);
    const active_request active(*this, context);
    context.record(event_kind::request_received,
                   {{"method", request.method}, {"path", std::string(request.path())}});
    finish_request(context, handle(context, request));
}

result<void> request_service::impl::handle(request_context& context, const http_request& request)
{
    BOOST_OUTCOME_TRY(context.await_confirmation());
    context.view = context.parts.views.load();
    BOOST_OUTCOME_TRY(const auto caller, authenticate(request, *context.view));
    BOOST_OUTCOME_TRY(const auto target, find_target(request, *context.view->rules));
    if (caller) {
        context.customer = caller->customer;
        context.key = caller->digest;
    }
    BOOST_OUTCOME_TRY(check_connections(context));
    return handle_target(context, request, target);
}

result<void> request_service::impl::check_connections(const request_context& context) const
{
    const auto rule = context.view->rules->customers.find(context.customer);
    if (rule == context.view->rules->customers.end()) {
        return boost::outcome_v2::success();
    }
    const auto& active = m_active[context.thread];
    const auto customer_requests = std::count_if(
        active.begin(), active.end(), [&](const auto* other) { return other->customer == context.customer; });
    const auto allowed = std::max<std::size_t>(1, rule->second.max_connections / m_active.size());
    if (static_cast<std::size_t>(customer_requests) <= allowed) {
        return boost::outcome_v2::success();
    }
    return error{error_kind::too_many_connections, "this customer has too many requests running at this VM",
                 "wait for answers, or use another VM of GET /v1/entry", run_outcome::not_run,
                 connection_limit_retry_after};
}

result<void> request_service::impl::handle_target(request_context& context, const http_request& request,
                                                  const request_target& target)
{
    if (const auto* route = std::get_if<route_target>(&target)) {
        return handle_route(context, request, *route);
    }
    if (std::holds_alternative<entry_target>(target)) {
        return context.writer.send(entry_response(context));
    }
    if (context.customer.empty()) {
        return error{error_kind::unauthenticated,
                     "this request needs a key",
                     "send Authorization: Bearer KEY",
                     run_outcome::not_run,
                     {}};
    }
    if (std::holds_alternative<models_target>(target)) {
        return context.writer.send(models_response(context));
    }
    return handle_model(context, request);
}

result<void> request_service::impl::handle_model(request_context& context, const http_request& request)
{
    BOOST_OUTCOME_TRY(auto call, read_model_call(request.body));
    const auto& models = context.view->rules->models;
    const auto model = models.find(call.model);
    if (model == models.end()) {
        return error{error_kind::not_found,
                     "model \"" + call.model.str() + "\" does not exist",
                     "name a model of GET /v1/models",
                     run_outcome::not_run,
                     {}};
    }
    if (!may_use(model->second.customers, context.customer)) {
        return permission_denied("model \"" + call.model.str() + "\"");
    }
    upstream_work work;
    work.pool = model->second.pool;
    work.method = "POST";
    work.target = "/v1/chat/completions";
    work.headers = upstream_headers(request, context.id);
    work.body = std::move(call.upstream_body);
    work.cost = call.prompt_tokens + call.max_tokens;
    work.prefix_digest = call.prefix_digest;
    work.prefix_tokens = call.prefix_tokens;
    work.prompt_tokens = call.prompt_tokens;
    work.max_tokens = call.max_tokens;
    return run_charged(context, work, work.cost);
}

result<void> request_service::impl::handle_route(request_context& context, const http_request& request,
                                                 const route_target& target)
{
    const auto& rule = *target.rule;
    if (rule.access == route_access::customers) {
        if (context.customer.empty()) {
            return error{error_kind::unauthenticated,
                         "this route needs a key",
                         "send Authorization: Bearer KEY",
                         run_outcome::not_run,
                         {}};
        }
        if (!may_use(rule.customers, context.customer)) {
            return permission_denied("route \"" + target.name.str() + "\"");
        }
    }
    upstream_work work;
    work.pool = rule.pool;
    work.route = target.name;
    work.method = request.method;
    work.target = target.target;
    work.headers = upstream_headers(request, context.id);
    work.body = request.body;
    work.repeat = rule.repeat;
    work.cost = rule.cost;
    if (rule.repeat == repeat_policy::at_most_once) {
        // An at-most-once call is not cancelled when the caller disconnects, so that its answer is kept for
        // replay.
        return serve_at_most_once(context, work, std::string(header_value(request.headers, ticket_header)),
                                  false);
    }
    return run_charged(context, work, rule.access == route_access::open ? 0 : rule.cost);
}

result<void> request_service::impl::run_charged(request_context& context, const upstream_work& work,
                                                token_count charge)
{
    std::optional<reservation> charged;
    if (charge > 0 && !context.customer.empty()) {
        auto admitted = admit_with_loans(context, charge);
        // Residency leaves this region without a part of the allowance; the serving region charges the
        // request.
        context.charge_elsewhere = !admitted && admitted.error().kind == error_kind::no_permitted_region &&
                                   context.origin == request_origin::caller;
        if (!admitted && !context.charge_elsewhere) {
            return admitted.error();
        }
        if (admitted) {
            charged = admitted.value();
            context.record(event_kind::request_admitted, {{"tokens", charge}});
        }
    }
    context.writer.on_caller_gone([&context] { context.cancel.cancel(); });
    answer_meter meter(work.max_tokens > 0 ? work.prompt_tokens : work.cost);
    auto end = run_attempts(context, work, meter);
    if (charged) {
        const bool received = end || context.writer.started();
        const auto used = received ? std::min(charge, meter.total_tokens()) : 0;
        m_parts.allowance.with_lock(
            [&](allowance_book& book) { book.settle(*charged, used, boot_clock::now()); });
        m_parts.counters.tokens.add(static_cast<std::uint64_t>(used), context.customer);
    }
    if (!end) {
        return end.error();
    }
    return boost::outcome_v2::success();
}

void request_service::impl::serve_forwarded(const vm_name& sender, const forward_request& request,
                                            std::size_t thread, response_writer& writer)
{
    request_context context(m_parts, writer, thread);
    context.id = request.id;
    context.customer = request.customer;
    context.key = request.key;
    context.deadline = context.received + request.time_left;
    context.origin = request_origin::peer;
    context.hop_count = request.hop_count;
    context.regions_passed = request.regions_passed;
    const active_request active(*this, context);
    context.record(event_kind::forward_received, {{"vm", sender.str()}}, request.cause);
    finish_request(context, handle_forwarded(context, request));
}

result<void> request_service::impl::handle_forwarded(request_context& context, const forward_request& request)
{
    BOOST_OUTCOME_TRY(context.await_confirmation());
    context.view = context.parts.views.load();
    const auto owner = context.view->keys->find(request.key);
    const bool open_route = request.customer.empty();
    if (!open_route && (!owner || owner->customer != request.customer)) {
        return error{error_kind::unauthenticated,
                     "the key is not known or has been withdrawn",
                     "send a key that is in force",
                     run_outcome::not_run,
                     {}};
    }
    upstream_work work;
    work.pool = request.pool;
    work.route = request.route;
    work.method = request.method;
    work.target = request.target;
    work.headers = request.headers;
    work.body = request.body;
    work.cost = request.cost;
    if (request.purpose == forward_purpose::ticket) {
        work.repeat = repeat_policy::at_most_once;
        return serve_at_most_once(context, work, request.ticket, true);
    }
    if (request.route.empty()) {
        BOOST_OUTCOME_TRY(const auto call, read_model_call(request.body));
        work.prefix_digest = call.prefix_digest;
        work.prefix_tokens = call.prefix_tokens;
        work.prompt_tokens = call.prompt_tokens;
        work.max_tokens = call.max_tokens;
    }
    return run_charged(context, work, request.charge_here ? request.cost : 0);
}

void request_service::impl::finish_request(request_context& context, const result<void>& end)
{
    m_parts.counters.total_latency.observe(boot_clock::now() - context.received, pool_name{"all"});
    if (end) {
        context.record(event_kind::request_finished);
        m_parts.counters.requests.increment(context.customer, request_end::served);
        return;
    }
    auto failure = end.error();
    if (context.key_withdrawn) {
        failure = {error_kind::unauthenticated,
                   "the key was withdrawn while the request ran",
                   "send a key that is in force",
                   failure.outcome,
                   {}};
        context.record(event_kind::key_withdrawn);
    }
    const bool cancelled = failure.kind == error_kind::cancelled;
    const bool refused = failure.outcome == run_outcome::not_run;
    context.record(cancelled ? event_kind::request_cancelled : event_kind::request_refused,
                   {{"code", std::string(code_of(failure.kind))}, {"message", failure.message}});
    m_parts.counters.refusals.increment(failure.kind);
    m_parts.counters.requests.increment(context.customer, cancelled ? request_end::cancelled
                                                          : refused ? request_end::refused
                                                                    : request_end::failed);
    spdlog::info("request failed id={} customer={} code={} message=\"{}\"", context.id.str(),
                 context.customer.str(), code_of(failure.kind), failure.message);
    if (context.writer.started()) {
        abort_stream(context, failure);
        return;
    }
    (void)context.writer.refuse(failure, context.id);
}

void request_service::impl::cancel_withdrawn_keys()
{
    for (std::size_t thread = 0; thread < m_threads.size(); ++thread) {
        boost::asio::post(m_threads[thread].io(), [self = shared_from_this(), thread] {
            const auto view = self->m_parts.views.load();
            for (auto* context : self->m_active[thread]) {
                if (!context->key || !view->keys) {
                    continue;
                }
                const auto owner = view->keys->find(*context->key);
                if (!owner || owner->customer != context->customer) {
                    context->key_withdrawn = true;
                    context->cancel.cancel();
                }
            }
        });
    }
}

request_service::request_service(serving_parts parts, traffic_group& threads)
    : m_impl(std::make_shared<impl>(parts, threads))
{
}

request_service::~request_service() = default;

void request_service::serve(const http_request& request, std::size_t thread, response_writer& writer)
{
    m_impl->serve(request, thread, writer);
}

void request_service::serve_forwarded(const vm_name& sender, const forward_request& request,
                                      std::size_t thread, response_writer& writer)
{
    m_impl->serve_forwarded(sender, request, thread, writer);
}

void request_service::cancel_withdrawn_keys()
{
    m_impl->cancel_withdrawn_keys();
}

std::size_t request_service::running() const
{
    return m_impl->running();
}

} // namespace cardamomstream
