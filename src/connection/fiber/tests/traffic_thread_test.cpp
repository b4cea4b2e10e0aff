#include "cardamomstream/connection/traffic_thread.h"
#include "cardamomstream/connection/use_fiber.h"

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <future>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

std::chrono::nanoseconds process_cpu_time()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec};
}

} // namespace

TEST_CASE("a fiber waits for I/O while others run")
{
    traffic_thread thread;
    std::promise<std::string> received;

    thread.spawn([&] {
        tcp::acceptor acceptor(thread.io(), {boost::asio::ip::make_address("127.0.0.1"), 0});
        const auto address = acceptor.local_endpoint();
        thread.spawn([&, address] {
            tcp::socket client(thread.io());
            CHECK_FALSE(client.async_connect(address, use_fiber));
            const std::string text = "ping";
            boost::asio::async_write(client, boost::asio::buffer(text), use_fiber);
        });
        auto [accept_error, socket] = [&] {
            tcp::socket peer(thread.io());
            auto ec = acceptor.async_accept(peer, use_fiber);
            return std::pair{ec, std::move(peer)};
        }();
        CHECK_FALSE(accept_error);
        std::array<char, 4> data{};
        boost::asio::async_read(socket, boost::asio::buffer(data), use_fiber);
        received.set_value(std::string(data.data(), data.size()));
    });

    CHECK(received.get_future().get() == "ping");
}

TEST_CASE("busy fibers do not starve timers")
{
    traffic_thread thread;
    std::atomic<bool> fired = false;
    std::promise<void> done;

    thread.spawn([&] {
        while (!fired) {
            boost::this_fiber::yield();
        }
        done.set_value();
    });
    thread.spawn([&] {
        boost::asio::steady_timer timer(thread.io(), 5ms);
        timer.async_wait(use_fiber);
        fired = true;
    });

    CHECK(done.get_future().wait_for(5s) == std::future_status::ready);
}

TEST_CASE("an idle thread uses next to no processor time")
{
    constexpr auto observed = 500ms;
    constexpr auto allowed = observed * 21 / 1000; // the users' bound for control: 2.1 % of a core

    traffic_thread thread;
    std::promise<void> started;
    thread.spawn([&] { started.set_value(); });
    started.get_future().wait();

    const auto before = process_cpu_time();
    std::this_thread::sleep_for(observed);
    CHECK(process_cpu_time() - before < allowed);
}

TEST_CASE("a thread that waits for a timer while I/O comes in uses next to no processor time")
{
    constexpr auto observed = 500ms;
    constexpr auto allowed = observed * 21 / 1000; // the users' bound for control: 2.1 % of a core
    constexpr auto between_events = 50ms;

    traffic_thread thread;
    std::promise<void> woken;
    thread.spawn([&] {
        boost::this_fiber::sleep_for(2 * observed);
        woken.set_value();
    });

    const auto before = process_cpu_time();
    for (auto elapsed = 0ms; elapsed < observed; elapsed += between_events) {
        boost::asio::post(thread.io(), [] {});
        std::this_thread::sleep_for(between_events);
    }
    CHECK(process_cpu_time() - before < allowed);
    CHECK(woken.get_future().wait_for(5s) == std::future_status::ready);
}
