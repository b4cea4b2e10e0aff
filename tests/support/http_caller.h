/// Blocking HTTP/1.1 client for tests, with a limit on each step.
#pragma once

#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

namespace cardamomstream::test_support {

/// A request as a test writes it.
struct call {
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::string key; ///< sent as `Authorization: Bearer`; empty: not sent
    std::vector<std::pair<std::string, std::string>> headers;
};

/// A response, whole or (for a stream) its head only.
struct answer {
    unsigned status = 0;
    boost::beast::http::fields headers;
    std::string body;

    std::string header(std::string_view name) const { return std::string(headers[name]); }
    /// The body as JSON; null if it is none.
    boost::json::value json() const;
    /// `error.code` and `error.outcome` of the gateway's refusals; empty if absent.
    std::string error_code() const { return error_text("code"); }
    std::string error_outcome() const { return error_text("outcome"); }
    std::string error_text(std::string_view field) const;
};

/// One connection. Every error is an `upstream_unavailable` (closed, refused) or `upstream_timeout`.
class http_caller {
public:
    explicit http_caller(endpoint to, std::chrono::milliseconds limit = std::chrono::seconds(10));

    /// Sends a request, on the open connection if there is one, and reads the whole response.
    result<answer> send(const call& request);
    /// Sends a request without waiting for its response.
    result<void> start(const call& request);
    /// Reads the response to an earlier `start` or `send_raw`.
    result<answer> finish();

    /// Sends a request and reads the head of its response.
    result<answer> begin(const call& request);
    /// Next server-sent event of the response that `begin` opened, without "data: "; empty after an orderly
    /// end.
    result<std::optional<std::string>> next_event();
    /// All events up to the orderly end.
    result<std::vector<std::string>> all_events();
    /// Bytes after the last event that `next_event` returned.
    const std::string& incomplete_event() const { return m_events; }

    /// Sends bytes as they are.
    result<void> send_raw(std::string_view bytes);
    /// Whatever arrives until the server closes.
    result<std::string> read_until_close();
    /// Closes with a TCP reset.
    void abandon();
    bool is_open() const { return m_stream.socket().is_open(); }
    void set_limit(std::chrono::milliseconds limit) { m_limit = limit; }

private:
    using parser_type = boost::beast::http::response_parser<boost::beast::http::string_body>;

    result<void> connect();
    template <class Operation>
    result<std::size_t> run(const std::string& what, Operation operation);
    answer take_head();

    endpoint m_to;
    std::chrono::milliseconds m_limit;
    boost::asio::io_context m_context;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser_type> m_parser;
    std::string m_events; ///< bytes of the stream that no event has been made of yet
};

/// One call on a connection of its own.
result<answer> send_once(const endpoint& to, const call& request,
                         std::chrono::milliseconds limit = std::chrono::seconds(10));

/// A chat completion whose answer repeats `word` in each of its `tokens`.
call chat_call(const std::string& key, const std::string& word, int tokens, bool stream,
               const std::string& model = "draft-small");

} // namespace cardamomstream::test_support
