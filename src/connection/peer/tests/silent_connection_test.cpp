#include "peer_fixture.h"

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/future.hpp>
#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Passes bytes on to a server. Connections that are open when `silence` is called stay open, but nothing
/// passes on them any more; later ones work.
class relay {
public:
    explicit relay(const endpoint& server)
        : m_server(boost::asio::ip::make_address(server.address), server.port)
    {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    relay(relay&&) = delete;
    relay& operator=(relay&&) = delete;
    ~relay()
    {
        m_io.stop();
        m_thread.join();
    }

    endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    void silence() { ++m_generation; }
    int connections() const { return m_connections; }

private:
    struct direction {
        std::shared_ptr<tcp::socket> from;
        std::shared_ptr<tcp::socket> to;
        std::array<char, 16384> data{};
        int generation = 0;
    };

    void accept()
    {
        auto client = std::make_shared<tcp::socket>(m_io);
        m_acceptor.async_accept(*client, [this, client](const boost::system::error_code& ec) {
            if (ec) {
                return;
            }
            ++m_connections;
            auto server = std::make_shared<tcp::socket>(m_io);
            server->connect(m_server);
            pass_on(client, server);
            pass_on(server, client);
            accept();
        });
    }

    void pass_on(const std::shared_ptr<tcp::socket>& from, const std::shared_ptr<tcp::socket>& to)
    {
        auto way = std::make_shared<direction>();
        way->from = from;
        way->to = to;
        way->generation = m_generation;
        read(way);
    }

    void read(const std::shared_ptr<direction>& way)
    {
        way->from->async_read_some(
            boost::asio::buffer(way->data),
            [this, way](const boost::system::error_code& ec, std::size_t bytes) {
                const bool silent = way->generation != m_generation;
                boost::system::error_code ignored;
                if (ec && !silent) {
                    way->to->shutdown(tcp::socket::shutdown_send, ignored);
                }
                if (ec) {
                    return;
                }
                if (!silent) {
                    boost::asio::write(*way->to, boost::asio::buffer(way->data.data(), bytes), ignored);
                }
                read(way);
            });
    }

    tcp::endpoint m_server;
    boost::asio::io_context m_io{1};
    tcp::acceptor m_acceptor{m_io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::atomic<int> m_generation = 0;
    std::atomic<int> m_connections = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("after silence on one connection the next call opens a new one")
{
    running_peer peer(quiet_handlers());
    relay between(peer.address.address);
    const peer_address to{peer.address.vm, between.address()};
    calling_peer caller;
    const auto invite = [&](std::chrono::milliseconds limit) {
        return in_fiber(caller.thread, [&] { return caller.client.invite(to, limit); });
    };
    REQUIRE(invite(call_limit));
    REQUIRE(invite(call_limit));
    CHECK(between.connections() == 1);
    between.silence();

    SECTION("a call that got no answer")
    {
        const auto started = boot_clock::now();
        const auto failed = invite(300ms);
        const auto passed = boot_clock::now() - started;
        REQUIRE_FALSE(failed);
        CHECK(failed.error().kind == error_kind::peer_unavailable);
        CHECK(failed.error().outcome == run_outcome::unknown);
        CHECK(passed >= 290ms);
        CHECK(passed < 1'500ms);
        CHECK(invite(call_limit));
        CHECK(between.connections() == 2);
    }
    SECTION("a connection that its owner resets")
    {
        caller.client.reset_connection(to);
        CHECK(invite(call_limit));
    }
    SECTION("a forwarded request whose answer does not begin")
    {
        const auto started = boot_clock::now();
        auto request = forwarded("x");
        request.time_left = 300ms;
        const auto failed = in_fiber(caller.thread, [&] {
            cancellation cancel;
            const auto stream = caller.client.forward(to, request, cancel);
            return stream.value()->next().error();
        });
        CHECK(failed.kind == error_kind::peer_unavailable);
        CHECK(failed.outcome == run_outcome::unknown);
        CHECK(boot_clock::now() - started < 1'500ms);
        CHECK(invite(call_limit));
    }
}

TEST_CASE("a slow answer does not cost the connection while others arrive on it")
{
    auto handlers = quiet_handlers();
    handlers.exchange = [](const vm_name&, const exchange_request&) {
        boost::this_fiber::sleep_for(600ms);
        return exchange_reply{};
    };
    running_peer peer(handlers);
    relay between(peer.address.address);
    const peer_address to{peer.address.vm, between.address()};
    calling_peer caller;
    auto slow = std::async(std::launch::async, [&] {
        return in_fiber(caller.thread, [&] { return caller.client.exchange(to, {}, 300ms); });
    });
    std::this_thread::sleep_for(100ms);
    CHECK(in_fiber(caller.thread, [&] { return caller.client.invite(to, call_limit); }));
    CHECK_FALSE(slow.get());
    CHECK(in_fiber(caller.thread, [&] { return caller.client.invite(to, call_limit); }));
    CHECK(between.connections() == 1);
}

TEST_CASE("a peer that accepts but never answers is given up at the limit")
{
    boost::asio::io_context io;
    auto mute =
        std::make_unique<tcp::acceptor>(io, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0});
    const peer_address to{vm_name{"vm-b"}, {"127.0.0.1", mute->local_endpoint().port()}};
    calling_peer caller;
    const auto started = boot_clock::now();
    const auto failed = in_fiber(caller.thread, [&] { return caller.client.invite(to, 300ms).error(); });
    CHECK(failed.kind == error_kind::peer_unavailable);
    CHECK(boot_clock::now() - started < 1'500ms);

    tcp::socket held(io);
    mute->accept(held); // the silent connection stays open
    mute.reset();
    running_peer peer(quiet_handlers(), identity_of("vm-b"), to.address);
    caller.client.reset_connection(to);
    CHECK(in_fiber(caller.thread, [&] { return caller.client.invite(to, call_limit); }));
}

TEST_CASE("a running stream on a connection that went silent ends on both sides")
{
    constexpr auto keepalive = 15s; // pause and timeout of the pings
    std::promise<void> gone;
    auto handlers = quiet_handlers();
    handlers.forward = [&](const vm_name&, const forward_request&, std::size_t, response_writer& writer) {
        boost::fibers::promise<void> left;
        writer.on_caller_gone([&] { left.set_value(); });
        (void)writer.begin_stream({200, {}});
        left.get_future().wait();
        gone.set_value();
    };
    running_peer peer(handlers);
    relay between(peer.address.address);
    calling_peer caller;
    const auto failed = in_fiber(caller.thread, [&] {
        cancellation cancel;
        const auto stream =
            caller.client.forward({peer.address.vm, between.address()}, forwarded(""), cancel);
        (void)stream.value()->next();
        between.silence();
        return stream.value()->next().error();
    });
    CHECK(failed.kind == error_kind::peer_unavailable);
    CHECK(failed.outcome == run_outcome::unknown);
    CHECK(gone.get_future().wait_for(keepalive) == std::future_status::ready);
}
