#include "guarded_call.h"

#include "answer_relay.h"
#include "loan_broker.h"

#include "cardamomstream/connection/error_response.h"
#include "cardamomstream/request/ticket_codec.h"
#include "cardamomstream/request/ticket_routing.h"

namespace cardamomstream {

namespace {

class at_most_once_call {
public:
    at_most_once_call(request_context& context, const upstream_work& work, const std::string& ticket_text)
        : m_context(context)
        , m_work(work)
        , m_ticket_text(ticket_text)
    {
    }

    result<void> serve(bool passed_on);

private:
    result<void> refuse_without_ticket();
    result<void> decide_here();
    result<void> pass_on_to(const ticket_holder& holder, const ticket& value);
    result<void> relay_from(forward_stream& stream);
    result<void> run(const run_granted& granted);
    result<attempt_result> run_charged(const run_granted& granted);
    result<void> send_answer(const kept_answer& kept);
    std::optional<region_name> upstream_region() const;
    issuer_view issuer_view_of(const ticket_holder& issuer) const;

    template <class Action>
    auto with_tickets(Action&& action)
    {
        return m_context.parts.tickets.with_lock(std::forward<Action>(action));
    }

    request_context& m_context;
    const upstream_work& m_work;
    const std::string& m_ticket_text;
};

result<void> at_most_once_call::serve(bool passed_on)
{
    if (m_ticket_text.empty()) {
        return refuse_without_ticket();
    }
    BOOST_OUTCOME_TRY(const auto value, read_ticket(m_ticket_text));
    const auto self = ticket_holder{m_context.parts.config.vm, m_context.parts.process};
    const auto settle_time = with_tickets([](ticket_book& book) { return book.max_settle_time(); });
    const auto route = route_ticket(value, self, issuer_view_of(value.id.issuer), passed_on, settle_time);
    if (const auto* refused = std::get_if<error>(&route)) {
        m_context.record(event_kind::ticket_refused, {{"reason", refused->message}});
        return *refused;
    }
    if (const auto* other = std::get_if<pass_on>(&route)) {
        return pass_on_to(other->holder, value);
    }
    return decide_here();
}

result<void> at_most_once_call::refuse_without_ticket()
{
    BOOST_OUTCOME_TRY(const auto issued, with_tickets([&](ticket_book& book) {
                          return book.issue(m_context.customer, m_work.route, boot_clock::now());
                      }));
    m_context.record(event_kind::ticket_issued, {{"number", static_cast<std::int64_t>(issued.id.number)}});
    m_context.parts.counters.tickets.increment(ticket_step::issued);
    const error required{error_kind::ticket_required,
                         "this route runs a call at most once and needs a ticket",
                         "send the same request again with the ticket of this answer in the header X-Ticket",
                         run_outcome::not_run,
                         {}};
    auto response = error_response(required, m_context.id, issued.text);
    response.head.headers.push_back({"X-Request-Id", m_context.id.str()});
    return m_context.writer.send(response);
}

result<void> at_most_once_call::decide_here()
{
    const auto digest = digest_request(m_work.method, m_work.target, m_work.body);
    auto decision = with_tickets([&](ticket_book& book) {
        return book.begin(m_ticket_text, m_context.customer, m_work.route, digest, boot_clock::now());
    });
    if (const auto* granted = std::get_if<run_granted>(&decision)) {
        return run(*granted);
    }
    if (const auto* replay = std::get_if<replay_answer>(&decision)) {
        return send_answer(replay->answer);
    }
    if (const auto* running = std::get_if<still_running>(&decision)) {
        return error{error_kind::outcome_unknown, "another copy of this call is running",
                     "read the status, or send the same call with the same ticket later",
                     run_outcome::unknown, running->retry_after};
    }
    if (const auto* refused = std::get_if<error>(&decision)) {
        m_context.record(event_kind::ticket_refused, {{"reason", refused->message}});
        m_context.parts.counters.tickets.increment(ticket_step::refused);
        return *refused;
    }
    BOOST_OUTCOME_TRY(const auto value, read_ticket(m_ticket_text));
    return pass_on_to(std::get<pass_on>(decision).holder, value);
}

issuer_view at_most_once_call::issuer_view_of(const ticket_holder& issuer) const
{
    issuer_view issuer_state;
    const auto& vms = m_context.view->vms;
    const auto found = vms.find(issuer.vm);
    if (found == vms.end()) {
        return issuer_state;
    }
    issuer_state.listed = found->second.listed;
    issuer_state.suspected = found->second.suspected;
    issuer_state.process = found->second.process;
    if (found->second.successor) {
        issuer_state.successor = ticket_holder{found->second.successor->vm, found->second.successor->process};
    }
    return issuer_state;
}

result<void> at_most_once_call::pass_on_to(const ticket_holder& holder, const ticket& value)
{
    const auto settle_time = with_tickets([](ticket_book& book) { return book.max_settle_time(); });
    const auto peer = m_context.view->vms.find(holder.vm);
    if (m_context.origin == request_origin::peer || peer == m_context.view->vms.end()) {
        return next_hop_unreachable(value, settle_time);
    }
    auto request = make_forward(m_context, m_work);
    request.purpose = forward_purpose::ticket;
    request.ticket = m_ticket_text;
    request.cause = m_context.record(event_kind::ticket_passed_on, {{"vm", holder.vm.str()}});
    m_context.parts.counters.tickets.increment(ticket_step::passed_on);
    auto stream = m_context.parts.peers.forward({holder.vm, peer->second.peer}, request, m_context.cancel);
    if (stream && relay_from(*stream.value())) {
        return boost::outcome_v2::success();
    }
    return next_hop_unreachable(value, settle_time);
}

result<void> at_most_once_call::relay_from(forward_stream& stream)
{
    BOOST_OUTCOME_TRY(auto first, stream.next());
    if (const auto* failed = std::get_if<error>(&first)) {
        return m_context.writer.refuse(*failed, m_context.id);
    }
    http_response response;
    if (auto* head = std::get_if<http_response_head>(&first)) {
        response.head = caller_head(*head, m_context.id);
    }
    while (true) {
        BOOST_OUTCOME_TRY(auto reply, stream.next());
        if (std::holds_alternative<forward_end>(reply)) {
            return m_context.writer.send(response);
        }
        if (const auto* part = std::get_if<std::string>(&reply)) {
            response.body += *part;
            continue;
        }
        return error{error_kind::peer_unavailable,
                     "the answer of the other VM broke off",
                     "",
                     run_outcome::unknown,
                     {}};
    }
}

result<void> at_most_once_call::run(const run_granted& granted)
{
    m_context.record(event_kind::ticket_started, {{"number", static_cast<std::int64_t>(granted.id.number)}});
    m_context.parts.counters.tickets.increment(ticket_step::started);
    auto end = run_charged(granted);
    const auto now = boot_clock::now();
    if (!end) {
        m_context.record(event_kind::ticket_finished, {{"outcome", std::string(code_of(end.error().kind))}});
        return with_tickets([&](ticket_book& book) {
            return end.error().outcome == run_outcome::not_run
                       ? book.fail_not_run(granted.id, end.error(), now)
                       : book.fail_unknown(granted.id, now);
        });
    }
    kept_answer kept;
    kept.status = static_cast<int>(end.value().status);
    const auto head = caller_head(end.value().head, m_context.id);
    for (const auto& header : head.headers) {
        kept.headers.emplace_back(header.name, header.value);
    }
    kept.ends_with_connection = head.ends_with_connection;
    kept.body = std::move(end.value().body);
    with_tickets([&](ticket_book& book) { (void)book.finish(granted.id, kept, now); });
    m_context.record(event_kind::ticket_finished, {{"status", static_cast<std::int64_t>(kept.status)}});
    m_context.parts.counters.tickets.increment(ticket_step::finished);
    return send_answer(kept);
}

result<attempt_result> at_most_once_call::run_charged(const run_granted& granted)
{
    const auto region = upstream_region();
    if (!region) {
        return error{error_kind::no_permitted_region, "no permitted region has an upstream of this route",
                     "try again later with the same ticket", run_outcome::not_run, std::chrono::seconds{1}};
    }
    BOOST_OUTCOME_TRY(auto charged, admit_with_loans(m_context, m_work.cost));
    single_attempt_options options;
    options.region = region;
    options.before_write = [&] {
        return with_tickets(
            [&](ticket_book& book) { return book.authorise_write(granted.id, boot_clock::now()); });
    };
    auto work = m_work;
    const auto run_by_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(granted.run_by - boot_clock::now());
    work.headers.push_back({"X-Run-By-Ms", std::to_string(run_by_left.count())});
    auto end = run_once(m_context, work, options);
    const auto used = end || end.error().outcome == run_outcome::unknown ? m_work.cost : 0;
    m_context.parts.allowance.with_lock(
        [&](allowance_book& book) { book.settle(charged, used, boot_clock::now()); });
    return end;
}

std::optional<region_name> at_most_once_call::upstream_region() const
{
    const auto permitted = m_context.permitted_regions();
    std::set<region_name> regions_with_upstream;
    if (m_context.view->list) {
        for (const auto& [name, upstream] : m_context.view->list->upstreams) {
            const bool allowed = permitted.empty() || permitted.contains(upstream.region);
            if (upstream.pool == m_work.pool && upstream.state == listed_state::live && allowed) {
                regions_with_upstream.insert(upstream.region);
            }
        }
    }
    if (regions_with_upstream.empty()) {
        return std::nullopt;
    }
    const auto& home = m_context.parts.config.region;
    return regions_with_upstream.contains(home) ? home : *regions_with_upstream.begin();
}

result<void> at_most_once_call::send_answer(const kept_answer& kept)
{
    http_response response;
    response.head.status = static_cast<unsigned>(kept.status);
    response.head.ends_with_connection = kept.ends_with_connection;
    for (const auto& [name, value] : kept.headers) {
        response.head.headers.push_back({name, value});
    }
    response.body = kept.body;
    return m_context.writer.send(response);
}

} // namespace

result<void> serve_at_most_once(request_context& context, const upstream_work& work,
                                const std::string& ticket_text, bool passed_on)
{
    return at_most_once_call(context, work, ticket_text).serve(passed_on);
}

} // namespace cardamomstream
