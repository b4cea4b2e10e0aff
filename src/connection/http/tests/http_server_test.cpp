#include "cardamomstream/connection/http_server.h"
#include "cardamomstream/connection/traffic_group.h"

#include <chrono>
#include <ctime>
#include <future>
#include <list>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>
#include <sys/resource.h>

using namespace cardamomstream;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A caller that sends raw bytes, well-formed or malformed.
class raw_caller {
public:
    enum when { connect_now, connect_later };

    explicit raw_caller(const endpoint& server, when connects = connect_now)
        : m_server(boost::asio::ip::make_address(server.address), server.port)
    {
        m_socket.open(m_server.protocol());
        if (connects == connect_now) {
            connect();
        }
    }

    void connect() { m_socket.connect(m_server); }

    void send(const std::string& bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }

    /// Everything until the server closes.
    std::string read_all()
    {
        std::string text;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(text), m_end);
        return text;
    }

    /// After `read_all`: the server closed the connection in order.
    bool closed_in_order() const { return m_end == boost::asio::error::eof; }

    /// What has come up to the end of this text; less if the server closes.
    std::string read_until(const std::string& end)
    {
        std::string text;
        boost::system::error_code ec;
        const auto length = boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(text), end, ec);
        return text.substr(0, length);
    }

    /// Everything until the server closes, in small reads with pauses. False if the connection is reset.
    bool read_slowly(std::string& text)
    {
        std::vector<char> part(16 * 1024);
        boost::system::error_code ec;
        while (!ec) {
            const auto length = m_socket.read_some(boost::asio::buffer(part), ec);
            text.append(part.data(), length);
            std::this_thread::sleep_for(1ms);
        }
        return ec == boost::asio::error::eof;
    }

    void close() { m_socket.close(); }

private:
    tcp::endpoint m_server;
    boost::asio::io_context m_io;
    tcp::socket m_socket{m_io};
    boost::system::error_code m_end;
};

struct running_server {
    explicit running_server(request_handler handler, http_limits limits = {})
        : server(threads, limits, std::move(handler))
        , address(server.listen({"127.0.0.1", 0}).value())
    {
    }

    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;
    running_server(running_server&&) = delete;
    running_server& operator=(running_server&&) = delete;
    ~running_server()
    {
        server.stop_accepting();
        server.close_all();
    }

    /// Keeps the server's thread from running anything else for this time, as on a loaded machine.
    void occupy(std::chrono::milliseconds time)
    {
        const auto began = std::make_shared<std::promise<void>>();
        threads.front().spawn([time, began] {
            began->set_value();
            std::this_thread::sleep_for(time);
        });
        began->get_future().wait();
    }

    traffic_group threads{1};
    http_server server;
    endpoint address;
};

void echo(const http_request& request, std::size_t /*thread*/, response_writer& writer)
{
    (void)writer.send({{200, {{"Content-Type", "text/plain"}}}, request.method + " " + request.body});
}

/// Of all threads of the process.
std::chrono::nanoseconds processor_time()
{
    timespec used{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a well-formed request is answered")
{
    running_server running(echo);
    raw_caller caller(running.address);

    SECTION("two requests on one connection get two answers")
    {
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
                    "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\ntwo");
        const auto answer = caller.read_all();
        CHECK(contains(answer, "POST one"));
        CHECK(contains(answer, "POST two"));
    }
}

TEST_CASE("a malformed request gets a clear error and the server goes on")
{
    http_limits limits;
    limits.header_timeout = 200ms;
    limits.body_timeout = 200ms;
    limits.max_body_bytes = 64;
    limits.max_header_bytes = 512;
    running_server running(echo, limits);
    raw_caller caller(running.address);

    SECTION("two Content-Length headers")
    {
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
        CHECK(contains(caller.read_all(), "400"));
    }
    SECTION("a chunked body that ends early")
    {
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc");
        CHECK(contains(caller.read_all(), "408"));
    }
    SECTION("a body above the limit")
    {
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
        CHECK(contains(caller.read_all(), "413"));
    }
    SECTION("headers above the limit")
    {
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(2000, 'x') + "\r\n\r\n");
        CHECK(contains(caller.read_all(), "HTTP/1.1 431 "));
    }
    SECTION("a transfer coding that is not understood: its body must not be read as a next request")
    {
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n"
                    "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        const auto answer = caller.read_all();
        CHECK(contains(answer, "400"));
        CHECK_FALSE(contains(answer, "200 OK"));
    }
    SECTION("a length beside a transfer coding")
    {
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        CHECK(contains(caller.read_all(), "400"));
    }
    SECTION("no Host")
    {
        caller.send("GET /a HTTP/1.1\r\n\r\n");
        CHECK(contains(caller.read_all(), "400"));
    }
    SECTION("two Hosts")
    {
        caller.send("GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
        CHECK(contains(caller.read_all(), "400"));
    }
    SECTION("a sender that stops in the middle of its headers")
    {
        caller.send("POST /a HTTP/1.1\r\nHost:");
        CHECK(contains(caller.read_all(), "408"));
    }

    raw_caller other(running.address);
    other.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(contains(other.read_all(), "200 OK"));
}

TEST_CASE("a stream tells whether it is complete")
{
    running_server running([](const http_request& request, std::size_t, response_writer& writer) {
        (void)writer.begin_stream({200, {}});
        (void)writer.write_chunk("part");
        if (request.path() == "/complete") {
            (void)writer.end_stream();
        }
        else {
            writer.abort_stream();
        }
    });
    raw_caller caller(running.address);

    SECTION("a complete stream ends with the last chunk")
    {
        caller.send("GET /complete HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CHECK(contains(caller.read_all(), "0\r\n\r\n"));
    }
    SECTION("an aborted stream does not")
    {
        caller.send("GET /cut HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const auto answer = caller.read_all();
        CHECK(contains(answer, "part"));
        CHECK_FALSE(contains(answer, "0\r\n\r\n"));
    }
}

TEST_CASE("a stream tells a caller of HTTP/1.0, which knows no chunks, whether it is complete")
{
    running_server running([](const http_request& request, std::size_t, response_writer& writer) {
        (void)writer.begin_stream({200, {}});
        (void)writer.write_chunk("first ");
        (void)writer.write_chunk("second");
        if (request.path() == "/complete") {
            (void)writer.end_stream();
        }
        else {
            boost::this_fiber::sleep_for(50ms); // until the caller has read it
            writer.abort_stream();
        }
    });
    raw_caller caller(running.address);

    SECTION("a complete stream is closed in order, without chunks")
    {
        caller.send("GET /complete HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
        const auto answer = caller.read_all();
        CHECK(answer.ends_with("\r\n\r\nfirst second"));
        CHECK_FALSE(contains(answer, "chunked"));
        CHECK_FALSE(contains(answer, "keep-alive"));
        CHECK(caller.closed_in_order());
    }
    SECTION("an aborted stream is reset")
    {
        caller.send("GET /cut HTTP/1.0\r\n\r\n");
        CHECK(contains(caller.read_all(), "first second"));
        CHECK_FALSE(caller.closed_in_order());
    }
}

TEST_CASE("an answer that ends with its connection states neither a length nor chunks")
{
    running_server running([](const http_request& request, std::size_t, response_writer& writer) {
        const http_response_head head{200, {}, true};
        if (request.path() == "/plain") {
            (void)writer.send({head, "first second"});
            return;
        }
        (void)writer.begin_stream(head);
        (void)writer.write_chunk("first second");
        if (request.path() == "/stream") {
            (void)writer.end_stream();
            return;
        }
        boost::this_fiber::sleep_for(50ms); // until the caller has read it
        writer.abort_stream();
    });
    raw_caller caller(running.address);

    SECTION("it is closed in order")
    {
        for (const auto* path : {"/plain", "/stream"}) {
            raw_caller another(running.address);
            another.send("GET " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n\r\n");
            const auto answer = another.read_all();
            CHECK(answer.ends_with("\r\n\r\nfirst second"));
            CHECK_FALSE(contains(answer, "Content-Length"));
            CHECK_FALSE(contains(answer, "chunked"));
            CHECK(contains(answer, "Connection: close"));
            CHECK(another.closed_in_order());
        }
    }
    SECTION("one that is known to be broken off is reset")
    {
        caller.send("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(contains(caller.read_all(), "first second"));
        CHECK_FALSE(caller.closed_in_order());
    }
}

TEST_CASE("the handler learns of a caller that leaves")
{
    std::promise<void> noticed;
    running_server running([&](const http_request&, std::size_t, response_writer& writer) {
        (void)writer.begin_stream({200, {}});
        auto left = std::make_shared<bool>(false);
        writer.on_caller_gone([left] { *left = true; });
        for (int round = 0; round < 500 && !*left; ++round) {
            boost::this_fiber::sleep_for(10ms);
        }
        if (*left) {
            noticed.set_value();
        }
    });
    raw_caller caller(running.address);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.close();
    CHECK(noticed.get_future().wait_for(5s) == std::future_status::ready);
}

TEST_CASE("a stream that is aborted while its caller is watched ends the connection only")
{
    running_server running([](const http_request&, std::size_t, response_writer& writer) {
        writer.on_caller_gone([] {});
        (void)writer.begin_stream({200, {}});
        writer.abort_stream();
    });
    for (int round = 0; round < 3; ++round) {
        raw_caller caller(running.address);
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK_FALSE(contains(caller.read_all(), "0\r\n\r\n"));
    }
}

TEST_CASE("a server that has announced its close still answers, and says so")
{
    running_server running(echo);
    running.server.announce_close();
    raw_caller caller(running.address);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto answer = caller.read_all();
    CHECK(contains(answer, "200 OK"));
    CHECK(contains(answer, "Connection: close"));
}

TEST_CASE("a stop begins while a stream whose head said nothing of it is sent")
{
    running_server* stopping = nullptr;
    running_server running([&](const http_request& request, std::size_t /*thread*/, response_writer& writer) {
        (void)writer.begin_stream({200, {}});
        stopping->server.announce_close();
        (void)writer.write_chunk(request.body);
        (void)writer.end_stream();
    });
    stopping = &running;
    raw_caller caller(running.address);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfirst"
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nsecond");
    const auto answers = caller.read_all();
    SECTION("the connection serves the next request, whose answer says that it is the last")
    {
        CHECK(contains(answers, "first"));
        CHECK(contains(answers, "second"));
        CHECK(contains(answers.substr(answers.find("first")), "Connection: close"));
    }
}

TEST_CASE("a busy server stops: no request is cut that had come before")
{
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    const std::string answer_end = "POST body";
    running_server running(echo);

    SECTION("a connection that waits to be accepted is served")
    {
        running.occupy(200ms);
        raw_caller first(running.address);
        raw_caller second(running.address);
        first.send(request);
        second.send(request);
        running.server.stop_accepting();
        for (auto* caller : {&first, &second}) {
            const auto answer = caller->read_all();
            CHECK(contains(answer, answer_end));
            CHECK(contains(answer, "Connection: close"));
        }
    }
    SECTION("so is a request that has arrived on a connection that was idle")
    {
        raw_caller kept(running.address);
        kept.send(request);
        REQUIRE(contains(kept.read_until(answer_end), "200 OK"));
        running.occupy(200ms);
        kept.send(request);
        running.server.stop_accepting();
        const auto answer = kept.read_all();
        CHECK(contains(answer, answer_end));
        CHECK(contains(answer, "Connection: close"));
    }
}

TEST_CASE("a server closes its idle connections before its process ends")
{
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    const std::string answer_end = "POST body";
    running_server running(echo);
    raw_caller kept(running.address);
    kept.send(request);
    REQUIRE(contains(kept.read_until(answer_end), "200 OK"));
    const auto await_end = [&] {
        for (int polls = 0; polls < 200 && running.server.open_connections() > 0; ++polls) {
            std::this_thread::sleep_for(10ms);
        }
        return running.server.open_connections() == 0;
    };

    SECTION("one on which nothing has come, whether it was idle before or has just been answered")
    {
        running.server.close_idle();
        CHECK(kept.read_all().empty());
        CHECK(await_end());
    }
    SECTION("one on which a part of a request has come is answered first")
    {
        kept.send(request.substr(0, request.size() - 2));
        running.server.stop_accepting();
        running.server.close_idle();
        std::this_thread::sleep_for(50ms);
        CHECK(running.server.open_connections() == 1);
        kept.send(request.substr(request.size() - 2));
        const auto answer = kept.read_all();
        CHECK(contains(answer, answer_end));
        CHECK(contains(answer, "Connection: close"));
        kept.close();
        CHECK(await_end());
    }
}

TEST_CASE("the last answer of a connection arrives, whatever its caller still sends")
{
    constexpr std::size_t answer_bytes = 2 * 1024 * 1024;
    running_server running(
        [&](const http_request& /*request*/, std::size_t /*thread*/, response_writer& writer) {
            (void)writer.send({{200, {}}, std::string(answer_bytes, 'a')});
        });
    running.server.announce_close();
    raw_caller caller(running.address);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(50ms);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string answer;
    CHECK(caller.read_slowly(answer));
    CHECK(answer.size() > answer_bytes);
}

// The connection was reset while they sent, which discarded the answer.
TEST_CASE("a refusal reaches a caller that sends all of its request before it reads")
{
    constexpr std::size_t limit = 1024 * 1024;
    constexpr std::size_t part = 64 * 1024;
    constexpr std::size_t parts = 32;
    http_limits limits;
    limits.max_body_bytes = limit;
    limits.body_timeout = 3s;
    running_server running(echo, limits);
    raw_caller caller(running.address);
    const auto send_parts = [&](std::chrono::milliseconds pause, const std::string& bytes) {
        for (std::size_t sent = 0; sent < parts; ++sent) {
            caller.send(bytes);
            std::this_thread::sleep_for(pause);
        }
    };

    SECTION("a body over the limit, with a length")
    {
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(part * parts) +
                    "\r\n\r\n");
        send_parts(50ms, std::string(part, 'x'));
    }
    SECTION("a body over the limit, in chunks")
    {
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        send_parts(50ms, "10000\r\n" + std::string(part, 'x') + "\r\n");
        caller.send("0\r\n\r\n");
    }
    const auto answer = caller.read_all();
    CHECK(contains(answer, "HTTP/1.1 413 "));
    CHECK(caller.closed_in_order());
}

TEST_CASE("a caller that goes on sending after a refusal is cut")
{
    http_limits limits;
    limits.max_body_bytes = 1024;
    limits.body_timeout = 10s;
    running_server running(echo, limits);
    raw_caller caller(running.address);
    const auto send_head = [&] {
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n");
    };
    const auto sends_until_cut = [&](std::size_t bytes, std::chrono::milliseconds pause) {
        const std::string part(bytes, 'x');
        const auto began = std::chrono::steady_clock::now();
        try {
            while (std::chrono::steady_clock::now() - began < 5s) {
                caller.send(part);
                std::this_thread::sleep_for(pause);
            }
        }
        catch (const boost::system::system_error&) {
            return true;
        }
        return false;
    };

    SECTION("slowly, for longer than a body may take")
    {
        limits.body_timeout = 500ms;
        running.server.set_limits(limits);
        send_head();
        CHECK(sends_until_cut(100, 20ms));
    }
    SECTION("more bytes than are discarded")
    {
        send_head();
        CHECK(sends_until_cut(64 * 1024, 0ms));
    }
    SECTION("nothing for longer than a caller may pause")
    {
        send_head();
        CHECK(contains(caller.read_all(), "HTTP/1.1 413 "));
        CHECK(running.server.open_connections() == 1);
        std::this_thread::sleep_for(2'600ms);
        CHECK(running.server.open_connections() == 0);
    }
}

TEST_CASE("an address is held by one listener at a time")
{
    running_server first(echo);
    traffic_group threads{1};
    http_server second(threads, {}, echo);
    const auto bound = second.listen(first.address);
    REQUIRE_FALSE(bound);
    CHECK(bound.error().kind == error_kind::invalid_settings);
}

// A caller's bytes without end in a chunk header, an extension or trailers must not be kept.
TEST_CASE("a request has no end where a parser waits for a delimiter")
{
    running_server running(echo);
    const std::string chunked =
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    for (const auto* place : {"", "4;", "0\r\nX: "}) {
        CAPTURE(place);
        raw_caller caller(running.address);
        caller.send(chunked + place + std::string(256 * 1024, 'x'));
        CHECK(contains(caller.read_until("\r\n"), " 400 "));
    }
}

// The end of its connection is all that shows the end of an answer without length or chunks.
TEST_CASE("an answer with neither length nor chunks is cut before its end")
{
    std::promise<void> writing;
    std::promise<void> cut;
    auto is_cut = cut.get_future().share();
    auto running =
        std::make_unique<running_server>([&](const http_request&, std::size_t, response_writer& writer) {
            (void)writer.begin_stream({200, {}, true});
            (void)writer.write_chunk("id: 1\ndata: a\n\n");
            writing.set_value();
            while (is_cut.wait_for(0s) != std::future_status::ready) {
                boost::this_fiber::sleep_for(5ms);
            }
        });
    raw_caller caller(running->address);
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(caller.read_until("a\n\n"), "data: a"));
    writing.get_future().wait();

    SECTION("by the end of the server: the caller sees a broken connection")
    {
        running->server.close_all();
        caller.read_all();
        CHECK_FALSE(caller.closed_in_order());
    }
    cut.set_value();
}

TEST_CASE("an answer with neither length nor chunks that has come to its end is closed in order")
{
    running_server running([](const http_request&, std::size_t, response_writer& writer) {
        (void)writer.begin_stream({200, {}, true});
        (void)writer.write_chunk(std::string(512 * 1024, 'x'));
        (void)writer.end_stream();
    });
    raw_caller caller(running.address);
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string text;
    CHECK(caller.read_slowly(text));
    CHECK(text.size() > 512 * 1024);
}

// Beast throws for it when it is sent on, which ended the process.
TEST_CASE("a TRACE request with a body is refused when it is read")
{
    running_server running(echo);
    for (const auto* body :
         {"Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
        raw_caller caller(running.address);
        caller.send(std::string("TRACE /a HTTP/1.1\r\nHost: h\r\n") + body);
        CHECK(contains(caller.read_until("\r\n"), " 400 "));
    }
}

// An exception of one request's fiber ended the process, and the requests of all other callers with it.
TEST_CASE("the handler of a request throws")
{
    running_server running([](const http_request& request, std::size_t thread, response_writer& writer) {
        if (request.target == "/begun") {
            (void)writer.begin_stream({200, {}});
        }
        if (request.target != "/sound") {
            throw std::runtime_error("a fault of this request");
        }
        echo(request, thread, writer);
    });

    SECTION("before an answer has begun: the caller gets one that promises nothing")
    {
        raw_caller caller(running.address);
        caller.send("GET /early HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(contains(caller.read_until("\r\n"), " 502 "));
    }
    SECTION("in the middle of an answer: the caller's connection is closed without the answer's end")
    {
        raw_caller caller(running.address);
        caller.send("GET /begun HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK_FALSE(contains(caller.read_all(), "0\r\n\r\n"));
    }
    raw_caller other(running.address);
    other.send("GET /sound HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(other.read_until("\r\n"), " 200 "));
}

// Without a free descriptor the listener went round without a pause, with a log line each time.
TEST_CASE("no connection can be accepted for lack of descriptors")
{
    running_server running(echo);
    rlimit before{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
    raw_caller served(running.address);
    served.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(served.read_until("\r\n"), " 200 "));
    raw_caller waiting(running.address, raw_caller::connect_later);
    rlimit none = before;
    none.rlim_cur = 3;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    waiting.connect();
    const auto used = processor_time();
    std::this_thread::sleep_for(500ms);
    const auto spent = processor_time() - used;
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
    CHECK(spent < 100ms);
    waiting.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(waiting.read_until("\r\n"), " 200 "));
}

// With all connections taken by silent callers, others were refused until the silent ones had waited for 1 s.
TEST_CASE("silent connections that came just before a call don't keep it out")
{
    http_limits limits;
    limits.max_connections = 4;
    running_server running(echo, limits);
    std::list<raw_caller> callers;

    SECTION("of those that have sent nothing, one makes room at once")
    {
        for (int silent = 0; silent < 12; ++silent) {
            callers.emplace_back(running.address);
        }
        raw_caller caller(running.address);
        caller.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        CHECK(contains(caller.read_all(), "200"));
    }
    SECTION("one that has begun to send is given time")
    {
        const auto began = boot_clock::now();
        for (int slow = 0; slow < 4; ++slow) {
            callers.emplace_back(running.address).send("GET /a HTTP/1.1\r\nHost");
        }
        std::this_thread::sleep_for(100ms);
        raw_caller caller(running.address);
        const auto answer = caller.read_all();
        if (boot_clock::now() - began < 1s) { // after that, one of them makes room
            CHECK(contains(answer, "429"));
            for (auto& slow : callers) {
                slow.send(": h\r\nConnection: close\r\n\r\n");
                CHECK(contains(slow.read_all(), "200"));
            }
        }
    }
}

// Each listener had a limit of its own: their connections together exceeded the descriptors of the process.
TEST_CASE("listeners that share a limit of connections")
{
    constexpr std::size_t own_connections = 4;
    constexpr std::size_t shared_connections = 5;
    constexpr auto end_limit = 1s; ///< for connections that are being closed
    traffic_group threads{1};
    const auto shared = std::make_shared<connection_limit>(shared_connections);
    http_limits limits;
    limits.max_connections = own_connections;
    http_server first(threads, limits, echo, nullptr, shared);
    http_server second(threads, limits, echo, nullptr, shared);
    const auto first_address = first.listen({"127.0.0.1", 0}).value();
    const auto second_address = second.listen({"127.0.0.1", 0}).value();
    std::list<raw_caller> callers;
    const auto open = [&] { return first.open_connections() + second.open_connections(); };
    const auto wait_for_at_most = [&](std::size_t connections) {
        const auto until = boot_clock::now() + end_limit;
        while (open() > connections && boot_clock::now() < until) {
            std::this_thread::sleep_for(5ms);
        }
        CHECK(open() <= connections);
    };
    const auto status_at = [](const endpoint& address) {
        raw_caller caller(address);
        caller.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return caller.read_all().substr(0, std::string_view("HTTP/1.1 200").size());
    };

    SECTION("silent connections are kept up to the limit, and keep no caller of either out")
    {
        for (int silent = 0; silent < 12; ++silent) {
            callers.emplace_back(first_address);
            callers.emplace_back(second_address);
        }
        CHECK(status_at(first_address) == "HTTP/1.1 200");
        CHECK(status_at(second_address) == "HTTP/1.1 200");
        wait_for_at_most(shared_connections);
    }
    SECTION("connections that have brought a request make no room, and leave some to the other listener")
    {
        const auto keep_one_at = [&](const endpoint& address) {
            auto& caller = callers.emplace_back(address);
            caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
            CHECK(contains(caller.read_until("\r\n"), " 200 "));
        };
        for (std::size_t kept = 0; kept < own_connections; ++kept) {
            keep_one_at(first_address);
        }
        CHECK(status_at(first_address) == "HTTP/1.1 429");
        keep_one_at(second_address);
        CHECK(status_at(second_address) == "HTTP/1.1 429");

        callers.clear();
        wait_for_at_most(0);
        CHECK(status_at(second_address) == "HTTP/1.1 200");
    }
    for (auto* server : {&first, &second}) {
        server->stop_accepting();
        server->close_all();
    }
}

// A field of 64 KiB threw outside of every handler, which ended the process.
TEST_CASE("a long head ends no process, whatever the limits")
{
    http_limits limits;
    limits.max_header_bytes = 200'000;
    running_server running(echo, limits);
    raw_caller caller(running.address);
    const auto head_with = [](std::size_t bytes) {
        return "POST / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(bytes, 'x') +
               "\r\nContent-Length: 4\r\n\r\nbody";
    };
    SECTION("the longest ones are read")
    {
        caller.send(head_with(longest_header_bytes - 200));
        CHECK(contains(caller.read_until("POST body"), "200 OK"));
    }
    SECTION("longer ones are refused")
    {
        caller.send(head_with(100'000));
        CHECK(contains(caller.read_all(), "HTTP/1.1 431 "));
    }
}

// A listener closed connections within the idle time that was in force, and read requests by old limits.
TEST_CASE("limits that change while a connection is open")
{
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
    const std::string answer_end = "POST body";
    constexpr auto slack = 1s; ///< beyond the stated idle time
    http_limits limits;
    limits.idle_timeout = 1s;
    limits.header_timeout = 300ms;
    limits.max_body_bytes = 64;
    limits.max_header_bytes = 512;
    running_server running(echo, limits);
    raw_caller kept(running.address);
    const auto serves = [&](raw_caller& caller) {
        caller.send(request);
        return contains(caller.read_until(answer_end), "200 OK");
    };
    REQUIRE(serves(kept));

    SECTION("an idle time that rises holds for a connection that is idle already")
    {
        limits.idle_timeout = 10s;
        running.server.set_limits(limits);
        std::this_thread::sleep_for(1s + slack + 300ms);
        CHECK(serves(kept));
    }
    SECTION("an idle time that falls cuts no connection that was answered before")
    {
        limits.idle_timeout = 3s;
        running.server.set_limits(limits);
        raw_caller another(running.address);
        another.send(request);
        const auto answer = another.read_until(answer_end);
        CHECK(contains(answer, "Keep-Alive: timeout=3"));
        limits.idle_timeout = 100ms;
        running.server.set_limits(limits);
        std::this_thread::sleep_for(2'500ms);
        CHECK(serves(another));
        CHECK(another.read_all().empty());
        CHECK(another.closed_in_order());
    }
    SECTION("a request that comes as the idle time ends is answered")
    {
        running.occupy(1s + slack + 200ms);
        std::this_thread::sleep_for(1s + slack + 100ms);
        CHECK(serves(kept));
    }
    SECTION("sizes and times that rise hold for the next request of an idle connection")
    {
        limits.max_body_bytes = 4'096;
        limits.max_header_bytes = 4'096;
        limits.header_timeout = 2s;
        running.server.set_limits(limits);
        const std::string body(2'000, 'x');
        kept.send("POST / HTTP/1.1\r\nHost: h\r\nX-Long: " + body);
        std::this_thread::sleep_for(600ms);
        kept.send("\r\nContent-Length: 2000\r\n\r\n" + body);
        CHECK(contains(kept.read_until(body), "200 OK"));
    }
    SECTION("limits that fall cut no request that is being read")
    {
        kept.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n");
        std::this_thread::sleep_for(100ms);
        limits.max_body_bytes = 10;
        running.server.set_limits(limits);
        kept.send(std::string(50, 'x'));
        CHECK(contains(kept.read_until(std::string(50, 'x')), "200 OK"));
    }
    SECTION("without known limits, a request that is too large is asked to come back")
    {
        limits.provisional = true;
        running.server.set_limits(limits);
        kept.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
        const auto answer = kept.read_all();
        CHECK(contains(answer, "HTTP/1.1 503 "));
        CHECK(contains(answer, "Retry-After"));
    }
}
