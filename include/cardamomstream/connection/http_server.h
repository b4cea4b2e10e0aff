/// HTTP/1.1 listener: one accepting thread, sessions spread over the traffic threads.
#pragma once

#include "cardamomstream/connection/body_memory.h"
#include "cardamomstream/connection/connection_limit.h"
#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/connection/response_writer.h"
#include "cardamomstream/connection/traffic_group.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <functional>
#include <memory>
#include <string_view>

namespace cardamomstream {

/// Answers one request; runs in a fiber of the traffic thread with the given index.
using request_handler = std::function<void(const http_request&, std::size_t thread, response_writer&)>;

/// Listens on one address. The bind is exclusive: a second process on the same address fails to start.
class http_server {
public:
    /// The threads must outlive the server. `bodies`: memory that other listeners share; null: the listener
    /// has its own, of `max_body_memory` or what a single body of these limits needs. `connections`: limit
    /// that other listeners share, beside the listener's own; may be null.
    http_server(traffic_group& threads, http_limits limits, request_handler handler,
                std::shared_ptr<body_memory> bodies = nullptr,
                std::shared_ptr<connection_limit> connections = nullptr);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Replaces the limits of requests and idle times, of open connections too. A request that is being read
    /// keeps the limits that were in force as it began, and a connection its idle time if the new one is
    /// shorter. `max_connections` and `max_buffered_bytes` stay. May be called on any thread.
    void set_limits(const http_limits& limits);

    /// Called on the connection's thread with the reason why a connection ends without an answer by the
    /// handler: "idle", or the code of the refusal. Set before `listen`.
    void on_unserved(std::function<void(std::string_view reason)> notify);

    /// Binds and begins to accept. Errors: error_kind::invalid_settings when the address cannot be bound.
    result<endpoint> listen(const endpoint& address);

    /// Answers from now on carry `Connection: close`; connections are still accepted.
    void announce_close();

    /// Accepts no further connections beyond those that wait to be accepted; open ones get `Connection:
    /// close` with their next answer, and those on which nothing has come since the last are closed.
    void stop_accepting();

    /// False once `stop_accepting` has accepted the connections that waited; then all are open connections.
    bool accepting() const;

    /// From now on no connection waits for a further request. Those that have sent one, or a part of it, are
    /// answered first; `open_connections` falls to 0 afterwards.
    void close_idle();

    /// Closes every connection that is still open.
    void close_all();

    /// Number of open connections.
    std::size_t open_connections() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace cardamomstream
