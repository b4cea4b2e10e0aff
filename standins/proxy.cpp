#include "proxy.h"

#include <algorithm>
#include <iostream>

namespace cardamomstream::standins {

namespace {

constexpr std::size_t read_bytes = 16U << 10U;
constexpr std::size_t max_queued_bytes = 4U << 20U;

void reset_socket(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

asio::awaitable<void> await_change(proxy_lane& lane)
{
    boost::system::error_code ignored;
    co_await lane.changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

void proxy_session::reset()
{
    closed = true;
    reset_socket(client);
    reset_socket(target);
    to_target.changed.cancel();
    from_target.changed.cancel();
}

proxy::proxy(asio::io_context& context, proxy_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_listen(parse_endpoint(m_settings.listen))
    , m_to(parse_endpoint(m_settings.to))
    , m_acceptor(context)
    , m_random(m_settings.seed)
{
}

void proxy::start()
{
    begin_listening();
    std::cout << "listening " << m_listen.address().to_string() << ':' << m_listen.port() << std::endl;
}

void proxy::begin_listening()
{
    m_acceptor = tcp::acceptor(m_context, m_listen);
    m_listen = m_acceptor.local_endpoint();
    asio::co_spawn(m_context, accept(), asio::detached);
}

asio::awaitable<void> proxy::accept()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket client =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, open(std::move(client)), asio::detached);
    }
}

asio::awaitable<void> proxy::open(tcp::socket client)
{
    tcp::socket target(m_context);
    boost::system::error_code error;
    co_await target.async_connect(m_to, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        reset_socket(client);
        co_return;
    }
    client.set_option(tcp::no_delay(true));
    target.set_option(tcp::no_delay(true));
    const auto session = std::make_shared<proxy_session>(std::move(client), std::move(target));
    std::erase_if(m_sessions, [](const auto& known) { return known.expired(); });
    m_sessions.push_back(session);
    for (const direction which : {direction::to_target, direction::from_target}) {
        asio::co_spawn(m_context, read_lane(session, which), asio::detached);
        asio::co_spawn(m_context, write_lane(session, which), asio::detached);
    }
}

parcel proxy::pack(direction which, std::vector<char> bytes)
{
    auto& free = which == direction::to_target ? m_free_to : m_free_from;
    const auto now = std::chrono::steady_clock::now();
    free = std::max(free, now);
    if (m_settings.bytes_per_second > 0) {
        const auto seconds =
            static_cast<double>(bytes.size()) / static_cast<double>(m_settings.bytes_per_second);
        free += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
    }
    std::uniform_int_distribution<std::int64_t> extra(0, m_settings.jitter.count());
    return {free + m_settings.delay + std::chrono::milliseconds(extra(m_random)), std::move(bytes)};
}

asio::awaitable<bool> proxy::await_room(session_pointer session, direction which)
{
    proxy_lane& lane = session->lane(which);
    while (!session->closed && lane.queued_bytes >= max_queued_bytes) {
        co_await await_change(lane);
    }
    co_return !session->closed;
}

asio::awaitable<void> proxy::read_lane(session_pointer session, direction which)
{
    proxy_lane& lane = session->lane(which);
    tcp::socket& from = which == direction::to_target ? session->client : session->target;
    for (;;) {
        const bool has_room = co_await await_room(session, which);
        if (!has_room) {
            co_return;
        }
        std::vector<char> bytes(read_bytes);
        boost::system::error_code error;
        const std::size_t count = co_await from.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if (session->closed) {
            co_return;
        }
        bytes.resize(error ? 0 : count);
        lane.queued_bytes += bytes.size();
        lane.parcels.push_back(pack(which, std::move(bytes)));
        lane.changed.cancel();
        if (error) {
            co_return;
        }
    }
}

bool proxy::is_silent(const proxy_lane& lane, direction which) const
{
    return lane.silent || (which == direction::to_target ? m_hold_to : m_hold_from);
}

asio::awaitable<bool> proxy::await_release(session_pointer session, direction which)
{
    proxy_lane& lane = session->lane(which);
    while (!session->closed) {
        if (lane.parcels.empty() || is_silent(lane, which)) {
            co_await await_change(lane);
            continue;
        }
        const auto release = lane.parcels.front().release;
        if (release <= std::chrono::steady_clock::now()) {
            co_return true;
        }
        asio::steady_timer timer(m_context, release);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return false;
}

asio::awaitable<void> proxy::write_lane(session_pointer session, direction which)
{
    proxy_lane& lane = session->lane(which);
    tcp::socket& towards = which == direction::to_target ? session->target : session->client;
    const auto& drop_after = which == direction::to_target ? m_drop_to : m_drop_from;
    boost::system::error_code error;
    while (!error) {
        const bool released = co_await await_release(session, which);
        if (!released) {
            break;
        }
        std::vector<char> bytes = std::move(lane.parcels.front().bytes);
        lane.parcels.pop_front();
        lane.queued_bytes -= bytes.size();
        lane.changed.cancel();
        if (bytes.empty()) {
            towards.shutdown(tcp::socket::shutdown_send, error);
            co_return;
        }
        const bool drops = drop_after && lane.sent_bytes + bytes.size() >= *drop_after;
        if (drops) {
            bytes.resize(*drop_after > lane.sent_bytes ? *drop_after - lane.sent_bytes : 0);
        }
        co_await asio::async_write(towards, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        lane.sent_bytes += bytes.size();
        if (drops) {
            break;
        }
    }
    session->reset();
}

void proxy::reset_all()
{
    for (const auto& known : m_sessions) {
        if (const auto session = known.lock()) {
            session->reset();
        }
    }
    m_sessions.clear();
}

void proxy::wake_all()
{
    for (const auto& known : m_sessions) {
        if (const auto session = known.lock()) {
            session->to_target.changed.cancel();
            session->from_target.changed.cancel();
        }
    }
}

bool proxy::apply(const std::string& kind, const request_target& target)
{
    const std::string only = target.parameter("direction");
    const bool to = only != "from";
    const bool from = only != "to";
    if (kind == "none") {
        m_hold_to = false;
        m_hold_from = false;
        m_drop_to.reset();
        m_drop_from.reset();
        if (!m_acceptor.is_open()) {
            begin_listening();
        }
    }
    else if (kind == "cut" || kind == "refuse") {
        m_acceptor.close();
        if (kind == "cut") {
            reset_all();
        }
    }
    else if (kind == "reset_open") {
        reset_all();
    }
    else if (kind == "blackhole") {
        m_hold_to = to;
        m_hold_from = from;
    }
    else if (kind == "silence_open") {
        for (const auto& known : m_sessions) {
            if (const auto session = known.lock()) {
                session->to_target.silent = session->to_target.silent || to;
                session->from_target.silent = session->from_target.silent || from;
            }
        }
    }
    else if (kind == "delay") {
        m_settings.delay = std::chrono::milliseconds(target.number("ms", 0));
    }
    else if (kind == "drop_after_bytes") {
        const auto bytes = static_cast<std::uint64_t>(target.number("bytes", 0));
        m_drop_to = to ? std::optional(bytes) : std::nullopt;
        m_drop_from = from ? std::optional(bytes) : std::nullopt;
    }
    else {
        return false;
    }
    wake_all();
    return true;
}

http_response proxy::set_fault(const request_target& target)
{
    const std::string kind = target.parameter("kind");
    if (!apply(kind, target)) {
        return text_response(http::status::bad_request, "no fault \"" + kind + "\"\n");
    }
    return text_response(http::status::ok, "");
}

asio::awaitable<void> proxy::handle(connection& client, const http_request& request)
{
    const request_target target(request.target());
    if (target.path() == "/fault") {
        co_await client.answer(set_fault(target));
        co_return;
    }
    if (target.path() == "/connections") {
        const auto open = std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& known) {
            const auto session = known.lock();
            return session != nullptr && !session->closed;
        });
        co_await client.answer(text_response(http::status::ok, std::to_string(open) + "\n"));
        co_return;
    }
    co_await client.answer(text_response(http::status::not_found, "no such control\n"));
}

} // namespace cardamomstream::standins
