#include "fault_control.h"

#include <array>
#include <charconv>
#include <string>
#include <utility>

namespace cardamomstream::standins {

namespace {

constexpr std::chrono::milliseconds default_chunk_delay{1'000};
constexpr std::chrono::nanoseconds longest_hang = std::chrono::hours(1);
constexpr std::string_view delay_prefix = "delay_ms=";

constexpr std::array<std::pair<std::string_view, fault_kind>, 13> fault_names{{
    {"none", fault_kind::none},
    {"refuse", fault_kind::refuse},
    {"hang_before_head", fault_kind::hang_before_head},
    {"hang_after_head", fault_kind::hang_after_head},
    {"close_after_head", fault_kind::close_after_head},
    {"hang_without_length", fault_kind::hang_without_length},
    {"close_inside_event", fault_kind::close_inside_event},
    {"end_inside_event", fault_kind::end_inside_event},
    {"slow_chunks", fault_kind::slow_chunks},
    {"split_chunks", fault_kind::split_chunks},
    {"error500", fault_kind::error500},
    {"close_after_request_body", fault_kind::close_after_request_body},
    {"delay", fault_kind::delay},
}};

} // namespace

http_response fault_control::set(const request_target& target)
{
    std::string name = target.parameter("kind");
    std::int64_t delay_ms = target.number("ms", default_chunk_delay.count());
    if (name.starts_with(delay_prefix)) {
        const char* const end = name.data() + name.size();
        std::from_chars(name.data() + delay_prefix.size(), end, delay_ms);
        name = "delay";
    }
    for (const auto& [known, kind] : fault_names) {
        if (known == name) {
            m_kind = kind;
            m_delay = std::chrono::milliseconds(delay_ms);
            return text_response(http::status::ok, "");
        }
    }
    return text_response(http::status::bad_request, "no fault \"" + name + "\"\n");
}

asio::awaitable<bool> fault_control::before_answer(connection& client) const
{
    bool goes_on = false;
    if (m_kind == fault_kind::refuse) {
        client.reset();
    }
    else if (m_kind == fault_kind::hang_before_head) {
        co_await hang(client);
    }
    else if (m_kind == fault_kind::error500) {
        co_await client.answer(text_response(http::status::internal_server_error, "injected fault\n"));
    }
    else if (m_kind == fault_kind::delay) {
        goes_on = co_await client.wait_while_connected(m_delay);
    }
    else {
        goes_on = true;
    }
    co_return goes_on;
}

asio::awaitable<bool> fault_control::broken_answer(connection& client, const http_response& response) const
{
    if (m_kind == fault_kind::hang_without_length) {
        co_await client.write_raw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n");
        co_await client.write_raw(std::string_view(response.body()).substr(0, response.body().size() / 2));
        co_await hang(client);
        co_return true;
    }
    const bool hangs = m_kind == fault_kind::hang_after_head;
    if (!hangs && m_kind != fault_kind::close_after_head) {
        co_return false;
    }
    co_await client.write_head(response);
    if (hangs) {
        co_await hang(client);
        co_return true;
    }
    co_await client.write_raw(std::string_view(response.body()).substr(0, response.body().size() / 2));
    client.close();
    co_return true;
}

asio::awaitable<void> hang(connection& client)
{
    bool connected = true;
    while (connected) {
        connected = co_await client.wait_while_connected(longest_hang);
    }
}

} // namespace cardamomstream::standins
