#include "http_server.h"

#include <charconv>
#include <iostream>
#include <stdexcept>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/url.hpp>

namespace cardamomstream::standins {

namespace {

constexpr std::uint64_t max_body_bytes = 64U << 20U;
constexpr std::uint32_t max_header_bytes = 256U << 10U;

} // namespace

request_target::request_target(std::string_view target)
    : m_target(target)
{
    if (const auto parsed = boost::urls::parse_origin_form(m_target)) {
        m_path = parsed->path();
    }
}

std::string request_target::parameter(std::string_view name) const
{
    const auto parsed = boost::urls::parse_origin_form(m_target);
    if (!parsed) {
        return {};
    }
    const auto parameters = parsed->params();
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : std::string((*found).value);
}

std::int64_t request_target::number(std::string_view name, std::int64_t fallback) const
{
    const std::string text = parameter(name);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

connection::connection(tcp::socket socket)
    : m_stream(std::move(socket))
{
    m_stream.socket().set_option(tcp::no_delay(true));
}

asio::awaitable<bool> connection::read(http_request& request)
{
    if (!m_keep_alive) {
        close();
        co_return false;
    }
    http::request_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes);
    parser.header_limit(max_header_bytes);
    boost::system::error_code error;
    co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        close();
        co_return false;
    }
    request = parser.release();
    m_keep_alive = request.keep_alive();
    co_return true;
}

asio::awaitable<void> connection::answer(http_response response)
{
    response.version(11);
    response.keep_alive(m_keep_alive);
    if (response.result() != http::status::not_modified) {
        response.prepare_payload();
    }
    co_await http::async_write(m_stream, response, asio::use_awaitable);
}

asio::awaitable<void> connection::write_head(const http_response& response)
{
    http::response<http::empty_body> head(response.base());
    head.version(11);
    head.content_length(response.body().size());
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
}

asio::awaitable<void> connection::begin_chunked(http::status status, std::string_view content_type,
                                                std::string_view server)
{
    http::response<http::empty_body> head(status, 11);
    head.set(http::field::content_type, content_type);
    head.set(http::field::server, server);
    head.keep_alive(m_keep_alive);
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
}

asio::awaitable<void> connection::write_chunk(std::string_view data)
{
    co_await asio::async_write(m_stream, http::make_chunk(asio::const_buffer(data.data(), data.size())),
                               asio::use_awaitable);
}

asio::awaitable<void> connection::end_chunks()
{
    co_await asio::async_write(m_stream, http::make_chunk_last(), asio::use_awaitable);
}

asio::awaitable<void> connection::write_raw(std::string_view data)
{
    co_await asio::async_write(m_stream, asio::const_buffer(data.data(), data.size()), asio::use_awaitable);
}

asio::awaitable<bool> connection::wait_while_connected(std::chrono::nanoseconds duration)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(m_stream.get_executor(), duration);
    if (m_buffer.size() > 0) {
        co_await timer.async_wait(asio::use_awaitable);
        co_return true;
    }
    const auto first = co_await (timer.async_wait(asio::use_awaitable) ||
                                 m_stream.socket().async_wait(tcp::socket::wait_read, asio::use_awaitable));
    if (first.index() == 0) {
        co_return true;
    }
    if (m_stream.socket().available() == 0) {
        close();
        co_return false;
    }
    // A pipelined request is waiting; the client is still there.
    co_await timer.async_wait(asio::use_awaitable);
    co_return true;
}

void connection::reset()
{
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.socket().close(ignored);
}

void connection::close()
{
    boost::system::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.socket().close(ignored);
}

http_response json_response(http::status status, const boost::json::value& body)
{
    http_response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = boost::json::serialize(body);
    return response;
}

http_response text_response(http::status status, std::string body)
{
    http_response response(status, 11);
    response.set(http::field::content_type, "text/plain");
    response.body() = std::move(body);
    return response;
}

tcp::endpoint parse_endpoint(std::string_view address)
{
    const auto authority = boost::urls::parse_authority(address);
    if (!authority || !authority->has_port()) {
        throw std::invalid_argument("\"" + std::string(address) + "\" is not IP:PORT");
    }
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(std::string(authority->encoded_host()), error);
    if (error) {
        throw std::invalid_argument("\"" + std::string(address) + "\" does not start with an IP number");
    }
    return {ip, authority->port_number()};
}

tcp::acceptor listen(asio::io_context& context, std::string_view address)
{
    tcp::acceptor acceptor(context, parse_endpoint(address));
    const auto real = acceptor.local_endpoint();
    std::cout << "listening " << real.address().to_string() << ':' << real.port() << std::endl;
    return acceptor;
}

} // namespace cardamomstream::standins
