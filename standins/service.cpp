#include "service.h"

namespace cardamomstream::standins {

namespace {

bool is_action(const http_request& request, const request_target& target)
{
    const bool known = target.path() == "/filing/submissions" || target.path() == "/parlour/treatments";
    return known && request.method() == http::verb::post;
}

bool is_page(const std::string& path)
{
    return path == "/filing/status" || path == "/parlour/stalls" || path == "/public/hours";
}

} // namespace

service::service(std::string name)
    : m_name(std::move(name))
{
}

http_response service::receipt(std::uint64_t number) const
{
    return json_response(http::status::created, {{"number", number}, {"service", m_name}});
}

http_response service::page(const http_request& request, const request_target& target) const
{
    return json_response(http::status::ok,
                         {{"service", m_name}, {"path", target.path()}, {"id", request["X-Request-Id"]}});
}

asio::awaitable<void> service::run_action(connection& client, const http_request& request)
{
    const std::uint64_t number = m_log.note_run(request);
    if (m_fault.kind() == fault_kind::close_after_request_body) {
        client.close();
        co_return;
    }
    const http_response response = receipt(number);
    if (co_await m_fault.broken_answer(client, response)) {
        co_return;
    }
    co_await client.answer(response);
}

asio::awaitable<void> service::read_page(connection& client, const http_request& request,
                                         const request_target& target)
{
    if (!is_page(target.path())) {
        co_await client.answer(text_response(http::status::not_found, "no such page\n"));
        co_return;
    }
    const http_response response = page(request, target);
    if (co_await m_fault.broken_answer(client, response)) {
        co_return;
    }
    co_await client.answer(response);
}

asio::awaitable<void> service::handle(connection& client, const http_request& request)
{
    const request_target target(request.target());
    if (target.path() == "/control/seen") {
        co_await client.answer(json_response(http::status::ok, m_log.to_json()));
        co_return;
    }
    if (target.path() == "/control/clear") {
        m_log.clear();
        co_await client.answer(text_response(http::status::ok, ""));
        co_return;
    }
    if (target.path() == "/control/fault") {
        co_await client.answer(m_fault.set(target));
        co_return;
    }
    if (target.path() == "/healthz") {
        co_await client.answer(text_response(http::status::ok, "ok\n"));
        co_return;
    }
    m_log.note_request(request);
    if (!co_await m_fault.before_answer(client)) {
        if (!client.is_open()) {
            m_log.note_cancel();
        }
        co_return;
    }
    if (is_action(request, target)) {
        co_await run_action(client, request);
        co_return;
    }
    co_await read_page(client, request, target);
}

} // namespace cardamomstream::standins
