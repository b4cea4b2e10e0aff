#include "http_caller.h"

#include <limits>

namespace cardamomstream::test_support {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_start = "data: ";

error failure(error_kind kind, const std::string& what, const std::string& why)
{
    return error{kind, what + ": " + why, "", run_outcome::unknown, std::nullopt};
}

http::request<http::string_body> to_request(const endpoint& to, const call& source)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(source.method);
    request.target(source.target);
    request.set(http::field::host, to.str());
    if (!source.key.empty()) {
        request.set(http::field::authorization, "Bearer " + source.key);
    }
    if (!source.body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    for (const auto& [name, value] : source.headers) {
        if (boost::beast::iequals(name, "Host")) {
            request.set(http::field::host, value); // in place of the address
            continue;
        }
        request.insert(name, value);
    }
    request.body() = source.body;
    request.prepare_payload();
    return request;
}

} // namespace

boost::json::value answer::json() const
{
    boost::system::error_code failed;
    return boost::json::parse(body, failed);
}

std::string answer::error_text(std::string_view field) const
{
    const boost::json::value whole = json();
    const auto* inner = whole.is_object() ? whole.as_object().if_contains("error") : nullptr;
    const auto* value =
        inner != nullptr && inner->is_object() ? inner->as_object().if_contains(field) : nullptr;
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

http_caller::http_caller(endpoint to, std::chrono::milliseconds limit)
    : m_to(std::move(to))
    , m_limit(limit)
    , m_stream(m_context)
{
}

template <class Operation>
result<std::size_t> http_caller::run(const std::string& what, Operation operation)
{
    std::optional<boost::system::error_code> outcome;
    std::size_t count = 0;
    m_stream.expires_after(m_limit);
    operation([&](boost::system::error_code failed, std::size_t bytes = 0) {
        outcome = failed;
        count = bytes;
    });
    m_context.restart();
    m_context.run();
    if (outcome == boost::beast::error::timeout) {
        return failure(error_kind::upstream_timeout, what, "nothing within the limit");
    }
    if (!outcome || *outcome) {
        return failure(error_kind::upstream_unavailable, what, outcome ? outcome->message() : "stopped");
    }
    return count;
}

result<void> http_caller::connect()
{
    if (is_open()) {
        return boost::outcome_v2::success();
    }
    m_buffer.clear();
    const tcp::endpoint target(boost::asio::ip::make_address(m_to.address), m_to.port);
    const auto connected = run("connect to " + m_to.str(), [&](auto handler) {
        m_stream.async_connect(target,
                               [handler](boost::system::error_code failed) mutable { handler(failed); });
    });
    if (!connected) {
        return connected.error();
    }
    m_stream.socket().set_option(tcp::no_delay(true));
    return boost::outcome_v2::success();
}

result<void> http_caller::start(const call& source)
{
    if (const auto connected = connect(); !connected) {
        return connected.error();
    }
    const auto request = to_request(m_to, source);
    const auto sent =
        run("send to " + m_to.str(), [&](auto handler) { http::async_write(m_stream, request, handler); });
    if (!sent) {
        return sent.error();
    }
    return boost::outcome_v2::success();
}

answer http_caller::take_head()
{
    const auto& head = m_parser->get();
    return {head.result_int(), head.base(), {}};
}

result<answer> http_caller::finish()
{
    m_parser.emplace();
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    const auto read = run("answer of " + m_to.str(),
                          [&](auto handler) { http::async_read(m_stream, m_buffer, *m_parser, handler); });
    if (!read) {
        abandon();
        return read.error();
    }
    answer whole = take_head();
    whole.body = m_parser->get().body();
    if (!m_parser->get().keep_alive()) {
        abandon();
    }
    return whole;
}

result<answer> http_caller::send(const call& request)
{
    if (const auto sent = start(request); !sent) {
        return sent.error();
    }
    return finish();
}

result<answer> http_caller::begin(const call& request)
{
    if (const auto sent = start(request); !sent) {
        return sent.error();
    }
    m_events.clear();
    m_parser.emplace();
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    const auto read = run("head of " + m_to.str(), [&](auto handler) {
        http::async_read_header(m_stream, m_buffer, *m_parser, handler);
    });
    if (!read) {
        return read.error();
    }
    return take_head();
}

result<std::optional<std::string>> http_caller::next_event()
{
    for (;;) {
        m_events += m_parser->get().body();
        m_parser->get().body().clear();
        const auto end = m_events.find(event_end);
        if (end != std::string::npos) {
            std::string event = m_events.substr(0, end);
            m_events.erase(0, end + event_end.size());
            return std::optional(event.starts_with(event_start) ? event.substr(event_start.size()) : event);
        }
        if (m_parser->is_done()) {
            return std::optional<std::string>();
        }
        const auto read = run("stream of " + m_to.str(), [&](auto handler) {
            http::async_read_some(m_stream, m_buffer, *m_parser, handler);
        });
        if (!read) {
            return read.error();
        }
    }
}

result<std::vector<std::string>> http_caller::all_events()
{
    std::vector<std::string> events;
    for (;;) {
        auto event = next_event();
        if (!event) {
            return event.error();
        }
        if (!event.value()) {
            return events;
        }
        events.push_back(std::move(*event.value()));
    }
}

result<void> http_caller::send_raw(std::string_view bytes)
{
    if (const auto connected = connect(); !connected) {
        return connected.error();
    }
    const auto sent = run("send to " + m_to.str(), [&](auto handler) {
        boost::asio::async_write(m_stream, boost::asio::buffer(bytes), handler);
    });
    if (!sent) {
        return sent.error();
    }
    return boost::outcome_v2::success();
}

result<std::string> http_caller::read_until_close()
{
    std::string received;
    for (;;) {
        std::array<char, 4096> part{};
        boost::system::error_code ended;
        std::size_t count = 0;
        const auto read = run("bytes of " + m_to.str(), [&](auto handler) {
            m_stream.async_read_some(boost::asio::buffer(part), [&, handler](boost::system::error_code failed,
                                                                             std::size_t bytes) mutable {
                ended = failed;
                count = bytes;
                handler(failed, bytes);
            });
        });
        if (!read && ended != boost::asio::error::eof) {
            return read.error();
        }
        received.append(part.data(), count);
        if (!read) {
            abandon();
            return received;
        }
    }
}

void http_caller::abandon()
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_stream.socket().close(ignored);
}

result<answer> send_once(const endpoint& to, const call& request, std::chrono::milliseconds limit)
{
    return http_caller(to, limit).send(request);
}

call chat_call(const std::string& key, const std::string& word, int tokens, bool stream,
               const std::string& model)
{
    const boost::json::object body{
        {"model", model},
        {"messages", boost::json::array{boost::json::object{{"role", "user"},
                                                            {"content", "draft the annex for " + word}}}},
        {"max_tokens", tokens},
        {"stream", stream}};
    return {"POST", "/v1/chat/completions", boost::json::serialize(body), key, {}};
}

} // namespace cardamomstream::test_support
