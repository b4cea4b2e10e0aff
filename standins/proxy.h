/// TCP proxy that delays, limits, silences or cuts what passes through it.
#pragma once

#include "http_server.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cardamomstream::standins {

/// Fixed properties of the link that a proxy stands for.
struct proxy_settings {
    std::string listen;
    std::string to;
    std::chrono::milliseconds delay{0};  ///< one way
    std::chrono::milliseconds jitter{0}; ///< up to this much is added to the delay
    std::uint64_t bytes_per_second = 0;  ///< for each direction, over all connections; 0: no limit
    std::uint64_t seed = 1;
};

/// A direction through the proxy.
enum class direction { to_target, from_target };

/// Bytes on their way through the proxy.
struct parcel {
    std::chrono::steady_clock::time_point release;
    std::vector<char> bytes; ///< empty: the end of the stream
};

/// One direction of one proxied connection.
struct proxy_lane {
    explicit proxy_lane(const asio::any_io_executor& executor)
        : changed(executor, asio::steady_timer::time_point::max())
    {
    }

    std::deque<parcel> parcels;
    std::size_t queued_bytes = 0;
    std::uint64_t sent_bytes = 0;
    bool silent = false;        ///< for good
    asio::steady_timer changed; ///< cancelled on each change; never expires
};

/// One proxied connection; its four coroutines share the ownership.
struct proxy_session {
    proxy_session(tcp::socket accepted, tcp::socket towards)
        : client(std::move(accepted))
        , target(std::move(towards))
        , to_target(client.get_executor())
        , from_target(client.get_executor())
    {
    }

    proxy_lane& lane(direction which) { return which == direction::to_target ? to_target : from_target; }
    void reset();

    tcp::socket client;
    tcp::socket target;
    proxy_lane to_target;
    proxy_lane from_target;
    bool closed = false;
};

/// The proxy and its control page `POST /fault?kind=...`.
class proxy {
public:
    proxy(asio::io_context& context, proxy_settings settings);

    /// Binds, prints `listening IP:PORT` and starts to accept.
    void start();
    /// Answers `POST /fault` and `GET /connections`.
    asio::awaitable<void> handle(connection& client, const http_request& request);

private:
    using session_pointer = std::shared_ptr<proxy_session>;

    asio::awaitable<void> accept();
    asio::awaitable<void> open(tcp::socket client);
    asio::awaitable<void> read_lane(session_pointer session, direction which);
    asio::awaitable<void> write_lane(session_pointer session, direction which);
    asio::awaitable<bool> await_release(session_pointer session, direction which);
    asio::awaitable<bool> await_room(session_pointer session, direction which);
    parcel pack(direction which, std::vector<char> bytes);
    bool is_silent(const proxy_lane& lane, direction which) const;
    http_response set_fault(const request_target& target);
    bool apply(const std::string& kind, const request_target& target);
    void begin_listening();
    void reset_all();
    void wake_all();

    asio::io_context& m_context;
    proxy_settings m_settings;
    tcp::endpoint m_listen;
    tcp::endpoint m_to;
    tcp::acceptor m_acceptor;
    std::mt19937_64 m_random;
    std::list<std::weak_ptr<proxy_session>> m_sessions;
    bool m_hold_to = false;   ///< nothing passes to the target
    bool m_hold_from = false; ///< nothing passes from the target
    std::optional<std::uint64_t> m_drop_to;
    std::optional<std::uint64_t> m_drop_from;
    std::chrono::steady_clock::time_point m_free_to;
    std::chrono::steady_clock::time_point m_free_from;
};

} // namespace cardamomstream::standins
