#include "peer_fixture.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <stdexcept>
#include <thread>

#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

using forward_handler = std::function<void(const forward_request&, response_writer&)>;

peer_handlers handlers_with(const forward_handler& forward)
{
    auto handlers = quiet_handlers();
    handlers.forward = [forward](const vm_name&, const forward_request& request, std::size_t,
                                 response_writer& writer) { forward(request, writer); };
    return handlers;
}

/// All that a caller reads from one stream.
struct whole_answer {
    unsigned status = 0;
    std::string body;
    std::size_t pieces = 0;
    bool ended = false;
    std::optional<error> failure;
};

whole_answer read_all(forward_stream& stream)
{
    whole_answer answer;
    while (!answer.ended && !answer.failure) {
        auto piece = stream.next();
        if (!piece) {
            answer.failure = piece.error();
            break;
        }
        ++answer.pieces;
        if (const auto* head = std::get_if<http_response_head>(&piece.value())) {
            answer.status = head->status;
        }
        else if (const auto* part = std::get_if<std::string>(&piece.value())) {
            answer.body += *part;
        }
        else if (const auto* reason = std::get_if<error>(&piece.value())) {
            answer.failure = *reason;
        }
        else {
            answer.ended = true;
        }
    }
    return answer;
}

whole_answer forward(calling_peer& caller, const running_peer& peer, const forward_request& request)
{
    return in_fiber(caller.thread, [&] {
        cancellation cancel;
        const auto stream = caller.client.forward(peer.address, request, cancel);
        return read_all(*stream.value());
    });
}

/// A handler that begins its answer and then waits until its caller is gone.
struct waiting_handler {
    void operator()(const forward_request& /*request*/, response_writer& writer)
    {
        const auto thread = std::this_thread::get_id();
        boost::fibers::promise<void> left;
        writer.on_caller_gone([&] {
            on_same_thread = thread == std::this_thread::get_id();
            left.set_value();
        });
        (void)writer.begin_stream({200, {}});
        (void)writer.write_chunk("first");
        left.get_future().wait();
        write_refused = !writer.write_chunk("late");
        heard.set_value();
    }

    std::atomic<bool> on_same_thread = false;
    std::atomic<bool> write_refused = false;
    std::promise<void> heard;
};

bool is_ready(std::promise<void>& promise)
{
    return promise.get_future().wait_for(5s) == std::future_status::ready;
}

} // namespace

TEST_CASE("a forwarded request arrives with all that its receiver must know")
{
    forward_request received;
    running_peer peer(handlers_with([&](const forward_request& request, response_writer& writer) {
        received = request;
        (void)writer.send({{201, {{"X-Note", "a\xff"}}}, "whole"});
    }));
    calling_peer caller;
    auto request = forwarded("body");
    request.key = {1, 2, 3};
    request.hop_count = 1;
    request.regions_passed = {region_name{"riga"}, region_name{"kurzeme"}};
    request.headers = {{"X-Raw", "b\xfe"}};
    const auto answer = forward(caller, peer, request);

    CHECK(answer.ended);
    CHECK(answer.status == 201);
    CHECK(answer.body == "whole");
    CHECK(received.key == request.key);
    CHECK(received.hop_count == 1);
    CHECK(received.regions_passed == request.regions_passed);
    CHECK(received.time_left == request.time_left);
    CHECK(received.headers.at(0).value == "b\xfe");
    CHECK(received.body == "body");
}

TEST_CASE("a streamed answer arrives in order and says whether it is whole")
{
    calling_peer caller;

    SECTION("an answer that ends")
    {
        running_peer peer(handlers_with([](const forward_request&, response_writer& writer) {
            (void)writer.begin_stream({200, {}});
            for (int part = 0; part < 100; ++part) {
                (void)writer.write_chunk(std::to_string(part) + " ");
            }
            (void)writer.end_stream();
        }));
        const auto answer = forward(caller, peer, forwarded(""));
        CHECK(answer.ended);
        CHECK(answer.pieces == 102);
        CHECK(answer.body.substr(0, 8) == "0 1 2 3 ");
    }
    SECTION("an answer that is aborted")
    {
        running_peer peer(handlers_with([](const forward_request&, response_writer& writer) {
            (void)writer.begin_stream({200, {}});
            (void)writer.write_chunk("half");
            writer.abort_stream();
        }));
        const auto answer = forward(caller, peer, forwarded(""));
        CHECK_FALSE(answer.ended);
        CHECK(answer.body == "half");
        REQUIRE(answer.failure);
        CHECK(answer.failure->kind == error_kind::peer_unavailable);
        CHECK(answer.failure->outcome == run_outcome::unknown);
    }
    SECTION("a handler that forgets the end")
    {
        running_peer peer(handlers_with([](const forward_request&, response_writer& writer) {
            (void)writer.begin_stream({200, {}});
            (void)writer.write_chunk("half");
        }));
        const auto answer = forward(caller, peer, forwarded(""));
        CHECK_FALSE(answer.ended);
        CHECK(answer.failure->outcome == run_outcome::unknown);
    }
    SECTION("a handler that throws before it answers")
    {
        running_peer peer(handlers_with([](const forward_request&, response_writer&) {
            throw std::runtime_error("a fault of this request");
        }));
        for (int call = 0; call < 2; ++call) {
            const auto answer = forward(caller, peer, forwarded(""));
            CHECK(answer.failure->kind == error_kind::internal);
            CHECK(answer.failure->outcome == run_outcome::unknown);
        }
    }
    SECTION("a handler that throws in the middle of its answer")
    {
        running_peer peer(handlers_with([](const forward_request&, response_writer& writer) {
            (void)writer.begin_stream({200, {}});
            (void)writer.write_chunk("half");
            throw std::runtime_error("a fault of this request");
        }));
        const auto answer = forward(caller, peer, forwarded(""));
        CHECK_FALSE(answer.ended);
        CHECK(answer.failure->outcome == run_outcome::unknown);
    }
    SECTION("a handler that does not answer")
    {
        running_peer peer(handlers_with([](const forward_request&, response_writer&) {}));
        CHECK(forward(caller, peer, forwarded("")).failure->kind == error_kind::internal);
    }
    SECTION("a body larger than one message")
    {
        const std::string body(std::size_t{40} * 1024 * 1024, 'b');
        running_peer peer(handlers_with([&](const forward_request&, response_writer& writer) {
            (void)writer.send({{200, {}}, body});
        }));
        const auto answer = forward(caller, peer, forwarded(""));
        CHECK(answer.ended);
        CHECK(answer.body == body);
    }
}

TEST_CASE("a caller that leaves is heard by the other VM")
{
    waiting_handler handler;
    running_peer peer(handlers_with(std::ref(handler)));
    calling_peer caller;

    SECTION("it cancels while it waits for the next piece")
    {
        const auto failure = in_fiber(caller.thread, [&] {
            cancellation cancel;
            const auto stream = caller.client.forward(peer.address, forwarded(""), cancel);
            (void)stream.value()->next();
            (void)stream.value()->next();
            caller.thread.spawn([&] { cancel.cancel(); });
            return stream.value()->next().error();
        });
        CHECK(failure.kind == error_kind::cancelled);
        CHECK(failure.outcome == run_outcome::unknown);
    }
    SECTION("it drops the answer")
    {
        in_fiber(caller.thread, [&] {
            cancellation cancel;
            const auto stream = caller.client.forward(peer.address, forwarded(""), cancel);
            return stream.value()->next().has_value();
        });
    }
    CHECK(is_ready(handler.heard));
    CHECK(handler.on_same_thread);
    CHECK(handler.write_refused);
}

TEST_CASE("a request that was cancelled before is not sent")
{
    std::atomic<int> arrived = 0;
    running_peer peer(handlers_with([&](const forward_request&, response_writer& writer) {
        ++arrived;
        (void)writer.send({});
    }));
    calling_peer caller;
    const auto failure = in_fiber(caller.thread, [&] {
        cancellation cancel;
        cancel.cancel();
        return caller.client.forward(peer.address, forwarded(""), cancel).error();
    });
    CHECK(failure.kind == error_kind::cancelled);
    CHECK(failure.outcome == run_outcome::not_run);
    CHECK(arrived == 0);
}

TEST_CASE("a caller that leaves after the end is not reported")
{
    std::atomic<bool> gone = false;
    running_peer peer(handlers_with([&](const forward_request&, response_writer& writer) {
        writer.on_caller_gone([&] { gone = true; });
        (void)writer.send({{200, {}}, "done"});
        boost::this_fiber::sleep_for(200ms);
    }));
    calling_peer caller;
    CHECK(forward(caller, peer, forwarded("")).ended);
    peer.server.stop(5s);
    CHECK_FALSE(gone);
}

TEST_CASE("a slow reader holds back the other VM")
{
    constexpr std::size_t chunk_bytes = std::size_t{512} * 1024;
    constexpr int chunks = 64;
    std::atomic<int> written = 0;
    running_peer peer(handlers_with([&](const forward_request&, response_writer& writer) {
        (void)writer.begin_stream({200, {}});
        const std::string chunk(chunk_bytes, 'c');
        for (int index = 0; index < chunks && writer.write_chunk(chunk); ++index) {
            ++written;
        }
        (void)writer.end_stream();
    }));
    calling_peer caller;
    const auto answer = in_fiber(caller.thread, [&] {
        cancellation cancel;
        const auto stream = caller.client.forward(peer.address, forwarded(""), cancel);
        (void)stream.value()->next();
        boost::this_fiber::sleep_for(500ms);
        CHECK(written < chunks / 2);
        return read_all(*stream.value());
    });
    CHECK(answer.ended);
    CHECK(answer.body.size() == chunks * chunk_bytes);
}

TEST_CASE("a server that stops lets answers end within its limit")
{
    SECTION("an answer that ends in time is whole")
    {
        std::promise<void> begun;
        running_peer peer(handlers_with([&](const forward_request&, response_writer& writer) {
            (void)writer.begin_stream({200, {}});
            begun.set_value();
            boost::this_fiber::sleep_for(300ms);
            (void)writer.write_chunk("late but whole");
            (void)writer.end_stream();
        }));
        calling_peer caller;
        auto reading = std::async(std::launch::async, [&] { return forward(caller, peer, forwarded("")); });
        begun.get_future().wait();
        peer.server.stop(5s);
        const auto answer = reading.get();
        CHECK(answer.ended);
        CHECK(answer.body == "late but whole");
    }
    SECTION("an answer that takes longer is cancelled and its caller can tell")
    {
        waiting_handler handler;
        running_peer peer(handlers_with(std::ref(handler)));
        calling_peer caller;
        auto reading = std::async(std::launch::async, [&] { return forward(caller, peer, forwarded("")); });
        std::this_thread::sleep_for(200ms);
        peer.server.stop(100ms);
        CHECK(is_ready(handler.heard));
        const auto answer = reading.get();
        CHECK_FALSE(answer.ended);
        REQUIRE(answer.failure);
        CHECK(answer.failure->kind == error_kind::peer_unavailable);
        CHECK(answer.failure->outcome == run_outcome::unknown);
    }
    SECTION("a fiber of the control thread may stop it while calls run there")
    {
        std::promise<void> begun;
        auto handlers = quiet_handlers();
        handlers.exchange = [&](const vm_name&, const exchange_request&) {
            begun.set_value();
            boost::this_fiber::sleep_for(300ms);
            return exchange_reply{version_id{9, {}}};
        };
        running_peer peer(handlers);
        calling_peer caller;
        auto running = std::async(std::launch::async, [&] {
            return in_fiber(caller.thread,
                            [&] { return caller.client.exchange(peer.address, {}, call_limit); });
        });
        begun.get_future().wait();
        CHECK(in_fiber(peer.control, [&] {
            peer.server.stop(5s);
            return true;
        }));
        const auto reply = running.get();
        REQUIRE(reply);
        CHECK(reply.value().version->number == 9);
    }
}
