/// One caller's connection.
#pragma once

#include "caller_watch.h"

#include "cardamomstream/connection/http_server.h"
#include "cardamomstream/connection/read_buffer.h"
#include "cardamomstream/core/boot_clock.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cardamomstream {

/// What all sessions of one listener share.
struct session_context {
    std::atomic<std::shared_ptr<const http_limits>> limits;
    request_handler handler;
    std::function<void(std::string_view reason)> on_unserved; ///< may be empty
    std::shared_ptr<memory_limit> read_memory;                ///< of all sessions
    std::shared_ptr<body_memory> bodies;                      ///< of all sessions, and other listeners
    std::atomic<bool> closing = false;                        ///< answers carry `Connection: close`
    std::atomic<bool> stopping = false;                       ///< no further connection is accepted
    std::atomic<bool> ending = false;                         ///< no connection waits for a further request
    std::atomic<bool> closed = false;                         ///< no connection is served
};

/// Reads requests from one connection and has them answered, one after the other. Keeps itself alive through
/// the fiber that runs it.
class http_session final : public response_writer, public std::enable_shared_from_this<http_session> {
public:
    http_session(boost::asio::ip::tcp::socket socket, std::size_t thread,
                 std::shared_ptr<session_context> context);

    /// Serves the connection until it ends; call in a fiber of the socket's thread.
    void run();

    /// Ends the connection if it waits for a request of which nothing has come; call on the socket's thread.
    void close_if_idle();
    void close();

    /// True on an open connection until the head of its first request has come; call on the socket's thread.
    bool waits_for_first_request() const { return m_waits_for_first_request && m_stream.socket().is_open(); }
    /// True while not even a byte of that request has come; call on the socket's thread.
    bool has_brought_nothing() { return waits_for_first_request() && m_idle && !has_unread_bytes(); }
    /// When the connection was accepted.
    time_point began_at() const { return m_began_at; }

    /// Ends the connection once its caller has received the last answer and closes, or after a limited time.
    void close_after_answer();

    result<void> send(const http_response& response) override;
    result<void> refuse(const error& reason, const request_id& id) override;
    result<void> begin_stream(const http_response_head& head) override;
    result<void> write_chunk(std::string_view data) override;
    result<void> end_stream() override;
    void abort_stream() override;
    bool started() const override { return m_started; }
    void on_caller_gone(std::function<void()> notify) override;

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    bool serve_one();
    /// How an idle connection goes on.
    enum class idle_end { request, closed, idle_timeout };
    idle_end await_request();
    boost::beast::error_code read_request(parser& incoming);
    boost::beast::error_code read_head(parser& incoming);
    boost::beast::error_code read_body(parser& incoming);
    void widen_buffer(std::size_t body_bytes);
    bool extend_body(const parser& incoming);
    void cut_body();
    void refuse_malformed(boost::beast::error_code ec);
    void note_unserved(std::string_view reason);
    void answer(parser& incoming);
    void end_failed_answer();
    bool will_close() const;
    bool has_unread_bytes();
    void set_reset_on_close(bool reset);
    result<void> finish_write(boost::beast::error_code ec);
    boost::beast::http::response<boost::beast::http::empty_body> make_head(const http_response_head& head);
    void state_idle_time(boost::beast::http::response<boost::beast::http::empty_body>& message);

    boost::beast::tcp_stream m_stream;
    std::size_t m_thread;
    std::shared_ptr<session_context> m_context;
    std::shared_ptr<const http_limits> m_limits;     ///< of the request that is read or answered
    std::chrono::milliseconds m_stated_idle_time{0}; ///< in the last answer; 0: none
    read_buffer m_buffer;
    std::string m_body; ///< of the request that is read
    std::optional<body_memory::account> m_body_account;
    bool m_reads_body = false;
    bool m_body_refused = false; ///< for lack of memory
    std::shared_ptr<caller_watch> m_watch;
    unsigned m_version = 11;
    bool m_keep_alive = true;
    bool m_chunked = true; ///< the stream that began last
    bool m_started = false;
    bool m_ended = false;
    bool m_too_large = false; ///< the last request was refused as too large
    bool m_idle = false;      ///< waits for a request of which nothing has come
    bool m_waits_for_first_request = true;
    time_point m_began_at = boot_clock::now();
};

} // namespace cardamomstream
