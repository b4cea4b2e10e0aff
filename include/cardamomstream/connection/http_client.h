/// HTTP/1.1 client with a pool of connections, for upstreams and the platform. One per traffic thread.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace cardamomstream {

/// Time limits of one call.
struct call_limits {
    std::chrono::milliseconds connect{1'000};
    std::chrono::milliseconds first_byte{10'000};
    std::chrono::milliseconds chunk_gap{5'000};
    std::chrono::milliseconds total{300'000};
};

/// One request to a server.
struct http_call {
    endpoint address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
    std::string_view borrowed_body; ///< sent if `body` is empty; must outlive the call
    call_limits limits;
    bool fresh_connection = false; ///< takes no pooled connection, which might have been closed meanwhile

    /// Called when a new connection for the call is refused, or not answered in time.
    std::function<void()> on_unconnected;

    /// Asked directly before the first byte leaves; its error ends the call with nothing sent.
    std::function<result<void>()> before_write;

    /// Asked with the time of its silence when the server has been silent for `first_byte` or `chunk_gap`.
    /// Returns for how long to wait on; zero ends the call with upstream_timeout, as does the end of the time
    /// in `total`.
    std::function<std::chrono::milliseconds(std::chrono::milliseconds silent)> on_silence;
};

/// The answer of one call, read piece by piece. Destroying it before the end closes the connection, which
/// shows the server that it may stop.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;

    virtual const http_response_head& head() const = 0;

    /// The next part of the body; empty optional at its end. Errors: upstream_timeout, upstream_failed
    /// (closed in the middle), cancelled; all with outcome unknown.
    virtual result<std::optional<std::string>> next() = 0;

    /// True when no other request was sent and no other answer came on the connection, so that this answer
    /// can be to no other request.
    virtual bool first_on_connection() const = 0;

    /// When the connection was made.
    virtual time_point connected_at() const = 0;

    /// Passes over an answer to another request, of which at most `max_bytes` are read, and reads the head of
    /// the next one. The connection isn't reused. Errors: those of next().
    virtual result<void> skip_answer(std::size_t max_bytes) = 0;

    /// The rest of the body must come within this time, whatever the call's own limits.
    virtual void limit_rest(std::chrono::milliseconds rest) = 0;

protected:
    http_exchange() = default;
};

/// Reads the rest of the answer's body; empty optional when it is larger than `max_bytes`. Errors: those of
/// `http_exchange::next`.
result<std::optional<std::string>> read_body(http_exchange& exchange, std::size_t max_bytes);

struct http_client_settings {
    std::chrono::milliseconds max_idle{15'000};     ///< pooled connections that idled longer are closed
    std::size_t max_idle_connections = 32;          ///< kept for one server
    std::chrono::milliseconds user_timeout{10'000}; ///< unacknowledged bytes for longer end the connection
    /// Of all connections together, for heads, chunk headers and trailers that are not complete yet. A call
    /// that would need more ends with upstream_failed.
    std::size_t max_buffered_bytes = std::size_t{16} * 1024 * 1024;
};

/// What comes of a new connection to a server.
enum class reachability {
    accepts,   ///< it is made; the process may stand still all the same
    closes,    ///< it is made, and closed at once
    refuses,   ///< the machine answers that no process listens
    no_answer, ///< nothing comes back in time
};

/// Opens and keeps connections. All calls are made in fibers of the thread that owns `io`.
class http_client {
public:
    http_client(boost::asio::io_context& io, http_client_settings settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Sends the request and reads the head of the answer. Errors: upstream_unavailable (no connection, not
    /// run), upstream_timeout and upstream_failed (after the first byte may have left: unknown), cancelled.
    result<std::unique_ptr<http_exchange>> send(const http_call& call, cancellation& cancel);

    /// Sends the request and reads the complete answer, at most `max_body_bytes` of it.
    result<http_response> fetch(const http_call& call, cancellation& cancel, std::size_t max_body_bytes);

    /// Tries a new connection, and looks after `settle_time` whether it is still open. It is kept for the
    /// next call to this server.
    reachability probe(const endpoint& address, std::chrono::milliseconds limit,
                       std::chrono::milliseconds settle_time);

    /// Whether an idle connection to a server that was made before `at` is still open; empty when none was
    /// kept.
    std::optional<bool> idle_open(const endpoint& address, time_point at);

    /// Closes the idle connections to servers that are no longer in use.
    void close_idle(const endpoint& address);

private:
    class pool;
    std::shared_ptr<pool> m_pool;
};

} // namespace cardamomstream
