#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/connection/traffic_group.h"

#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// Writes bytes to the client; false once the client has closed.
using byte_writer = std::function<bool(const std::string&)>;

/// A server of one connection that answers each request with the bytes that the script writes.
class raw_server {
public:
    explicit raw_server(std::function<void(const byte_writer&)> script)
        : m_acceptor(m_io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_address{"127.0.0.1", m_acceptor.local_endpoint().port()}
        , m_thread([this, script = std::move(script)] { serve(script); })
    {
    }
    ~raw_server() { m_thread.join(); }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;

    const endpoint& address() const { return m_address; }
    std::size_t bytes_written() const { return m_bytes; }

private:
    void serve(const std::function<void(const byte_writer&)>& script)
    {
        boost::system::error_code ec;
        tcp::socket socket(m_io);
        m_acceptor.accept(socket, ec);
        std::string request;
        while (!ec) {
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ec);
            request.clear();
            if (ec) {
                return; // the client has closed
            }
            script([&](const std::string& bytes) {
                boost::asio::write(socket, boost::asio::buffer(bytes), ec);
                m_bytes += ec ? 0 : bytes.size();
                return !ec;
            });
        }
    }

    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    endpoint m_address;
    std::atomic<std::size_t> m_bytes = 0;
    std::thread m_thread;
};

result<http_response> fetch_from(const raw_server& server, std::chrono::milliseconds total)
{
    std::promise<result<http_response>> done;
    traffic_group threads{1};
    http_client client(threads.front().io(), {});
    threads.front().spawn([&] {
        http_call call;
        call.address = server.address();
        call.limits = {200ms, total, total, total};
        cancellation cancel;
        auto answer = client.fetch(call, cancel, 1024);
        client.close_idle(call.address);
        done.set_value(std::move(answer));
    });
    return done.get_future().get();
}

const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

} // namespace

TEST_CASE("heads come before the answer's own")
{
    SECTION("a few are passed over")
    {
        raw_server server([](const byte_writer& write) {
            write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer);
        });
        const auto got = fetch_from(server, 500ms);
        REQUIRE(got);
        CHECK(got.value().head.status == 200);
        CHECK(got.value().body == "done");
    }
    SECTION("without end: the call ends long before its time is over")
    {
        raw_server server([](const byte_writer& write) {
            while (write("HTTP/1.1 100 Continue\r\n\r\n")) {
                std::this_thread::sleep_for(2ms);
            }
        });
        const auto began = std::chrono::steady_clock::now();
        const auto got = fetch_from(server, 3s);
        CHECK_FALSE(got);
        CHECK(std::chrono::steady_clock::now() - began < 1s);
    }
}

// It was taken for an informational head, and the answer awaited until the call's time was over.
TEST_CASE("a status that HTTP doesn't know is no answer")
{
    for (const std::string status : {"000", "001", "099"}) {
        DYNAMIC_SECTION(status)
        {
            raw_server server([&](const byte_writer& write) {
                write("HTTP/1.1 " + status + " x\r\nContent-Length: 4\r\n\r\ndone");
            });
            const auto began = std::chrono::steady_clock::now();
            const auto got = fetch_from(server, 3s);
            REQUIRE_FALSE(got);
            CHECK(got.error().kind == error_kind::upstream_failed);
            CHECK(got.error().outcome == run_outcome::unknown);
            CHECK(std::chrono::steady_clock::now() - began < 1s);
        }
    }
}

TEST_CASE("a head has no end")
{
    raw_server server([](const byte_writer& write) {
        if (write("HTTP/1.1 200 OK\r\n")) {
            while (write("X-Filler: 0123456789012345678901234567890123456789\r\n")) {
            }
        }
    });
    const auto began = std::chrono::steady_clock::now();
    const auto got = fetch_from(server, 3s);
    CHECK_FALSE(got);
    CHECK(std::chrono::steady_clock::now() - began < 1s);
}

TEST_CASE("an answer breaks off halfway")
{
    // At each framing it must not look whole.
    for (const auto* bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nhalf",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"}) {
        CAPTURE(bytes);
        raw_server server([&](const byte_writer& write) { write(bytes); });
        CHECK_FALSE(fetch_from(server, 300ms));
    }
}

// A faulty server sends bytes that are no answer until the caller closes: they must not be kept.
TEST_CASE("bytes without end wherever a parser waits for a delimiter")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    const std::string filler(64 * 1024, 'x');
    std::string fields;
    while (fields.size() < filler.size()) {
        fields += "X-Filler: 0123456789\r\n";
    }
    const std::vector<std::pair<std::string, std::string>> places{
        {chunked, filler},                                        // chunk header
        {chunked + "4;", filler},                                 // chunk extension
        {chunked + "0\r\nX: ", filler},                           // trailer
        {chunked + "0\r\n", fields},                              // trailers
        {"HTTP/1.1 200 ", filler},                                // reason
        {"HTTP/1.1 200 OK\r\n", fields},                          // head
        {"HTTP/1.1 103 Early Hints\r\n", fields},                 // informational head
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: ", filler},       // one header
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", // first chunk header
         filler},
    };
    for (const auto& [beginning, endless] : places) {
        CAPTURE(beginning);
        raw_server server([&, &first = beginning, &rest = endless](const byte_writer& write) {
            bool open = write(first);
            while (open) {
                open = write(rest);
                std::this_thread::sleep_for(1ms); // slow enough for the memory of a test that fails
            }
        });
        const auto began = std::chrono::steady_clock::now();
        CHECK_FALSE(fetch_from(server, 2s));
        CHECK(std::chrono::steady_clock::now() - began < 1s);
    }
}

// Time that a slow reader takes counted as silence of a sound server, which was then left early.
TEST_CASE("a server falls silent after its answer was read slowly")
{
    raw_server server([](const byte_writer& write) {
        write("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
        std::this_thread::sleep_for(800ms);
        write("half");
    });
    std::promise<std::vector<std::chrono::milliseconds>> done;
    std::string body;
    traffic_group threads{1};
    http_client client(threads.front().io(), {});
    threads.front().spawn([&] {
        std::vector<std::chrono::milliseconds> silences;
        http_call call;
        call.address = server.address();
        call.limits = {200ms, 100ms, 100ms, 5s};
        call.on_silence = [&](std::chrono::milliseconds silent) {
            silences.push_back(silent);
            return 100ms;
        };
        cancellation cancel;
        auto exchange = client.send(call, cancel);
        while (exchange) {
            const auto part = exchange.value()->next();
            if (!part || !part.value()) {
                break;
            }
            body += *part.value();
            boost::this_fiber::sleep_for(300ms);
        }
        client.close_idle(call.address);
        done.set_value(silences);
    });
    const auto silences = done.get_future().get();
    CHECK(body == "halfhalf"); // each question was answered with more time
    REQUIRE(silences.size() > 1);
    CHECK(silences.front() >= 100ms);
    CHECK(silences.front() < 300ms);
    CHECK(silences.back() > silences.front());
}
