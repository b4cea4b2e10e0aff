#include "cardamomstream/connection/http_server.h"

#include "http_session.h"

#include "cardamomstream/connection/contained_call.h"
#include "cardamomstream/connection/error_response.h"
#include "cardamomstream/connection/use_fiber.h"

#include <chrono>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>
#include <spdlog/spdlog.h>

namespace cardamomstream {

using boost::asio::ip::tcp;

namespace {

constexpr int listen_backlog = 1024;

/// After a connection could not be accepted, as when the process has no descriptor left.
constexpr std::chrono::milliseconds accept_retry_pause{100};

/// A connection that has brought a part of a head only makes room for another one after this time, when all
/// are taken; one that has brought nothing does so at once.
constexpr std::chrono::milliseconds min_wait_for_first_request{1'000};

std::shared_ptr<body_memory> own_body_memory(const http_limits& limits)
{
    auto memory = std::make_shared<body_memory>(body_memory_settings{limits.max_body_memory});
    memory->make_room_for(limits.max_body_bytes);
    return memory;
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    using session_set = std::set<std::shared_ptr<http_session>>;

    state(traffic_group& traffic, http_limits limits, request_handler handler,
          std::shared_ptr<body_memory> bodies, std::shared_ptr<connection_limit> connections)
        : threads(traffic)
        , sessions(threads.size())
        , acceptor(threads.front().io())
        , connection_limits{std::make_shared<connection_limit>(limits.max_connections)}
    {
        if (connections) {
            connection_limits.push_back(std::move(connections));
        }
        context->limits = std::make_shared<const http_limits>(limits);
        context->read_memory = std::make_shared<memory_limit>(limits.max_buffered_bytes);
        context->bodies = bodies ? std::move(bodies) : own_body_memory(limits);
        context->handler = std::move(handler);
    }

    result<endpoint> bind(const endpoint& address);
    void accept_loop();
    void accept_waiting();
    std::size_t take_thread() { return std::exchange(next_thread, (next_thread + 1) % threads.size()); }
    void start_session(tcp::socket socket, std::size_t thread);

    /// The session of a thread that has waited longest for the head of its first request. Null when there is
    /// none that may be closed for another connection.
    http_session* longest_without_request(std::size_t thread) const;

    /// Lets connections of this listener make room for others, under each of its limits.
    void make_replaceable();

    /// Calls `visit` with each session, on the session's thread.
    template <class Visitor>
    void for_each_session(Visitor visit);

    traffic_group& threads;
    std::vector<session_set> sessions; ///< by thread; each set is touched on its thread only
    tcp::acceptor acceptor;
    std::size_t next_thread = 0; ///< of the next session
    std::shared_ptr<session_context> context = std::make_shared<session_context>();
    std::vector<std::shared_ptr<connection_limit>> connection_limits; ///< the own one first
    std::atomic<bool> accepting = false;
};

result<endpoint> http_server::state::bind(const endpoint& address)
{
    const auto refuse = [&](const boost::system::error_code& ec) {
        return error{error_kind::invalid_settings,
                     "cannot listen on " + address.str() + ": " + ec.message(),
                     "free the address or set another one in the settings",
                     {},
                     {}};
    };
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.address, ec);
    if (ec) {
        return refuse(ec);
    }
    const tcp::endpoint where{ip, address.port};
    acceptor.open(where.protocol(), ec);
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(where, ec);
    }
    if (!ec) {
        acceptor.listen(listen_backlog, ec);
    }
    if (ec) {
        return refuse(ec);
    }
    return endpoint{address.address, acceptor.local_endpoint().port()};
}

void http_server::state::accept_loop()
{
    bool failing = false;
    while (acceptor.is_open()) {
        const auto thread = take_thread();
        tcp::socket socket(threads[thread].io());
        const auto ec = acceptor.async_accept(socket, use_fiber);
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            if (!std::exchange(failing, true)) {
                spdlog::warn("accept failed: {}; trying again until it succeeds", ec.message());
            }
            boost::this_fiber::sleep_for(accept_retry_pause);
            continue;
        }
        if (std::exchange(failing, false)) {
            spdlog::info("connections are accepted again");
        }
        start_session(std::move(socket), thread);
    }
}

/// Accepts the connections that callers have opened already: closing the listener would reset them.
void http_server::state::accept_waiting()
{
    boost::system::error_code ec;
    acceptor.non_blocking(true, ec);
    while (!ec) {
        const auto thread = take_thread();
        tcp::socket socket(threads[thread].io());
        acceptor.accept(socket, ec);
        if (!ec) {
            start_session(std::move(socket), thread);
        }
    }
    if (ec != boost::asio::error::would_block) {
        spdlog::warn("connections that wait to be accepted are reset: {}", ec.message());
    }
}

void http_server::state::start_session(tcp::socket socket, std::size_t thread)
{
    if (context->closed) {
        return;
    }
    auto session = std::make_shared<http_session>(std::move(socket), thread, context);
    connection_limit* exceeded = nullptr;
    for (const auto& limit : connection_limits) {
        if (!limit->add() && exceeded == nullptr) {
            exceeded = limit.get();
        }
    }
    boost::asio::dispatch(threads[thread].io(), [self = shared_from_this(), session, thread] {
        self->sessions[thread].insert(session);
    });
    threads[thread].spawn([self = shared_from_this(), session, thread, exceeded] {
        if (exceeded != nullptr && !exceeded->close_one(thread)) {
            (void)session->send(error_response(
                {error_kind::too_many_connections, "this VM has too many open connections",
                 "try again, or another VM of GET /v1/entry", run_outcome::not_run, std::chrono::seconds{1}},
                request_id{}));
            session->close(); // without the wait for its caller, which would keep others out
        }
        else if (!run_contained("a connection is closed", [&] { session->run(); })) {
            session->close();
        }
        self->sessions[thread].erase(session);
        for (const auto& limit : self->connection_limits) {
            limit->remove();
        }
    });
}

http_session* http_server::state::longest_without_request(std::size_t thread) const
{
    const auto now = boot_clock::now();
    http_session* longest = nullptr;
    for (const auto& session : sessions[thread]) {
        if (longest != nullptr && longest->began_at() <= session->began_at()) {
            continue;
        }
        const bool waited_long =
            session->waits_for_first_request() && now - session->began_at() >= min_wait_for_first_request;
        if (waited_long || session->has_brought_nothing()) {
            longest = session.get();
        }
    }
    return longest;
}

void http_server::state::make_replaceable()
{
    for (const auto& limit : connection_limits) {
        limit->add_listener([weak = weak_from_this()](std::size_t thread) {
            std::optional<replaceable_connection> found;
            const auto self = weak.lock();
            if (auto* session = self ? self->longest_without_request(thread) : nullptr) {
                found = {session->began_at(), [session = session->shared_from_this()] { session->close(); }};
            }
            return found;
        });
    }
}

template <class Visitor>
void http_server::state::for_each_session(Visitor visit)
{
    for (std::size_t thread = 0; thread < threads.size(); ++thread) {
        boost::asio::post(threads[thread].io(), [self = shared_from_this(), thread, visit] {
            for (const auto& session : self->sessions[thread]) {
                visit(*session);
            }
        });
    }
}

http_server::http_server(traffic_group& threads, http_limits limits, request_handler handler,
                         std::shared_ptr<body_memory> bodies, std::shared_ptr<connection_limit> connections)
    : m_state(std::make_shared<state>(threads, limits, std::move(handler), std::move(bodies),
                                      std::move(connections)))
{
    m_state->make_replaceable();
}

http_server::~http_server()
{
    m_state->context->closed = true;
    stop_accepting();
    close_all();
}

result<endpoint> http_server::listen(const endpoint& address)
{
    auto bound = m_state->bind(address);
    if (!bound) {
        return bound;
    }
    m_state->accepting = true;
    m_state->threads.front().spawn([self = m_state] { self->accept_loop(); });
    return bound;
}

void http_server::set_limits(const http_limits& limits)
{
    m_state->context->limits = std::make_shared<const http_limits>(limits);
}

void http_server::on_unserved(std::function<void(std::string_view reason)> notify)
{
    m_state->context->on_unserved = std::move(notify);
}

void http_server::announce_close()
{
    m_state->context->closing = true;
}

void http_server::stop_accepting()
{
    m_state->context->stopping = true;
    boost::asio::post(m_state->threads.front().io(), [self = m_state] {
        if (self->acceptor.is_open()) {
            self->accept_waiting();
        }
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
        self->accepting = false;
    });
    m_state->for_each_session([](http_session& session) { session.close_if_idle(); });
}

void http_server::close_idle()
{
    m_state->context->ending = true;
    m_state->for_each_session([](http_session& session) { session.close_if_idle(); });
}

void http_server::close_all()
{
    m_state->for_each_session([](http_session& session) { session.close(); });
}

bool http_server::accepting() const
{
    return m_state->accepting;
}

std::size_t http_server::open_connections() const
{
    return m_state->connection_limits.front()->open();
}

} // namespace cardamomstream
