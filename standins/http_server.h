/// HTTP/1.1 server of the stand-ins: one thread, one coroutine per connection.
#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

namespace cardamomstream::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Path and query of a request target.
class request_target {
public:
    explicit request_target(std::string_view target);

    const std::string& path() const noexcept { return m_path; }
    /// Value of a query parameter; empty if it is absent.
    std::string parameter(std::string_view name) const;
    /// Number in a query parameter; `fallback` if it is absent or no number.
    std::int64_t number(std::string_view name, std::int64_t fallback) const;

private:
    std::string m_target;
    std::string m_path;
};

/// Server side of one open connection.
class connection {
public:
    explicit connection(tcp::socket socket);

    /// Reads the next request. False when the client has closed or sent something that is not HTTP.
    asio::awaitable<bool> read(http_request& request);
    /// Sends a whole response.
    asio::awaitable<void> answer(http_response response);
    /// Sends the head of a response only, with the length of its body.
    asio::awaitable<void> write_head(const http_response& response);
    /// Sends the head of a chunked response.
    asio::awaitable<void> begin_chunked(http::status status, std::string_view content_type,
                                        std::string_view server);
    /// Sends one chunk of a chunked response.
    asio::awaitable<void> write_chunk(std::string_view data);
    /// Ends a chunked response.
    asio::awaitable<void> end_chunks();
    /// Sends bytes as they are; for faults that break HTTP.
    asio::awaitable<void> write_raw(std::string_view data);
    /// Waits. False as soon as the client has gone.
    asio::awaitable<bool> wait_while_connected(std::chrono::nanoseconds duration);
    /// Closes with a TCP reset, so that the client can't take it for an orderly end.
    void reset();
    /// Closes in order.
    void close();
    bool is_open() const { return m_stream.socket().is_open(); }

private:
    boost::beast::basic_stream<tcp> m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_keep_alive = true;
};

/// Something that answers requests.
template <class T>
concept http_application = requires(T& app, connection& client, const http_request& request)
{
    {
        app.handle(client, request)
        } -> std::same_as<asio::awaitable<void>>;
};

/// A JSON response.
http_response json_response(http::status status, const boost::json::value& body);
/// A text response.
http_response text_response(http::status status, std::string body);

/// Binds and listens; prints `listening IP:PORT` with the real port.
tcp::acceptor listen(asio::io_context& context, std::string_view address);
/// Parses `IP:PORT`. Throws `std::invalid_argument` that names the value.
tcp::endpoint parse_endpoint(std::string_view address);

/// Answers the requests of one connection until either side closes it.
template <http_application App>
asio::awaitable<void> serve_connection(std::shared_ptr<connection> client, App& app)
{
    try {
        http_request request;
        bool has_request = co_await client->read(request);
        while (has_request) {
            co_await app.handle(*client, request);
            has_request = client->is_open() && co_await client->read(request);
        }
    }
    catch (const boost::system::system_error&) {
        // The client has gone; there is nobody left to tell.
        client->close();
    }
}

/// Accepts connections until the context stops.
template <http_application App>
asio::awaitable<void> serve(tcp::acceptor acceptor, App& app)
{
    for (;;) {
        auto client = std::make_shared<connection>(co_await acceptor.async_accept(asio::use_awaitable));
        asio::co_spawn(acceptor.get_executor(), serve_connection(std::move(client), app), asio::detached);
    }
}

} // namespace cardamomstream::standins
