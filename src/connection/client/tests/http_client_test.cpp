#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/connection/http_server.h"

#include <atomic>
#include <chrono>
#include <future>
#include <string>

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

/// Runs the body in a fiber and gives its value.
template <class Body>
auto in_fiber(traffic_thread& thread, Body body)
{
    std::promise<decltype(body())> done;
    thread.spawn([&] { done.set_value(body()); });
    return done.get_future().get();
}

/// An upstream that answers by path.
void serve(const http_request& request, std::size_t /*thread*/, response_writer& writer)
{
    if (request.path() == "/silent") {
        boost::this_fiber::sleep_for(500ms);
    }
    if (request.path() == "/cut") {
        (void)writer.begin_stream({200, {}});
        (void)writer.write_chunk("part");
        writer.abort_stream();
        return;
    }
    if (request.path() == "/stall") {
        (void)writer.begin_stream({200, {}});
        (void)writer.write_chunk("part");
        boost::this_fiber::sleep_for(1s);
        (void)writer.end_stream();
        return;
    }
    (void)writer.send({{200, {}}, request.method + " " + request.body});
}

} // namespace

TEST_CASE("a call is answered whole or fails with a typed error")
{
    traffic_group threads{2};
    http_server upstream(threads, {}, serve);
    const auto address = upstream.listen({"127.0.0.1", 0}).value();
    http_client client(threads[1].io(), {});
    cancellation cancel;
    http_call call;
    call.address = address;
    call.limits.first_byte = 200ms;
    call.limits.chunk_gap = 200ms;
    const auto fetch = [&] { return in_fiber(threads[1], [&] { return client.fetch(call, cancel, 1024); }); };

    SECTION("two calls use one connection")
    {
        CHECK(fetch().value().body == "GET ");
        CHECK(fetch().value().body == "GET ");
        CHECK(upstream.open_connections() == 1);
    }
    SECTION("nobody listens: not run")
    {
        call.address.port = 1;
        const auto answer = fetch();
        REQUIRE_FALSE(answer);
        CHECK(answer.error().kind == error_kind::upstream_unavailable);
        CHECK(answer.error().outcome == run_outcome::not_run);
    }
    SECTION("an upstream that closes in the middle is no whole answer")
    {
        call.target = "/cut";
        const auto answer = fetch();
        REQUIRE_FALSE(answer);
        CHECK(answer.error().kind == error_kind::upstream_failed);
        CHECK(answer.error().outcome == run_outcome::unknown);
    }
    SECTION("silence before the head ends at the first byte limit")
    {
        call.target = "/silent";
        const auto answer = fetch();
        REQUIRE_FALSE(answer);
        CHECK(answer.error().kind == error_kind::upstream_timeout);
    }
    SECTION("silence between two chunks ends at the gap limit")
    {
        call.target = "/stall";
        const auto answer = fetch();
        REQUIRE_FALSE(answer);
        CHECK(answer.error().kind == error_kind::upstream_timeout);
    }
    SECTION("an answer above the limit is refused")
    {
        call.method = "POST";
        call.body = std::string(2000, 'x');
        CHECK(fetch().error().kind == error_kind::upstream_failed);
    }
    SECTION("a check before the first byte can hold the call back")
    {
        call.before_write = [] {
            return result<void>(error{error_kind::ticket_refused, "too late", "", run_outcome::not_run, {}});
        };
        CHECK(fetch().error().kind == error_kind::ticket_refused);
    }
    SECTION("a cancelled call ends at once")
    {
        call.target = "/silent";
        call.limits.first_byte = 400ms;
        threads[1].spawn([&] {
            boost::this_fiber::sleep_for(50ms);
            cancel.cancel();
        });
        CHECK(fetch().error().kind == error_kind::cancelled);
    }
    upstream.stop_accepting();
    upstream.close_all();
}
