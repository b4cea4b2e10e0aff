#include "standin.h"

#include <thread>

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

std::int64_t cancels_of(const standin& upstream)
{
    return upstream.get("/control/seen").json().at("cancels").as_int64();
}

std::chrono::nanoseconds time_to_first_event(const endpoint& engine, const call& request)
{
    http_caller caller(engine);
    const auto before = std::chrono::steady_clock::now();
    REQUIRE(caller.begin(request));
    REQUIRE(caller.next_event());
    const auto elapsed = std::chrono::steady_clock::now() - before;
    REQUIRE(caller.all_events());
    return elapsed;
}

} // namespace

TEST_CASE("the engine streams as many tokens as it is asked for")
{
    const standin engine("engine", {"--name", "e1", "--tokens-per-second", "200"});
    http_caller caller(engine.address());

    SECTION("as events that end in order")
    {
        REQUIRE(caller.begin(chat_call("", "ledger", 5, true)));
        const auto events = caller.all_events();
        REQUIRE(events);
        REQUIRE(events.value().size() == 6);
        CHECK(events.value()[4].find("4:ledger") != std::string::npos);
        CHECK(events.value()[4].find("\"completion_tokens\":5") != std::string::npos);
        CHECK(events.value()[5] == "[DONE]");
    }
    SECTION("as one JSON document")
    {
        const auto whole = caller.send(chat_call("", "ledger", 5, false));
        REQUIRE(whole);
        CHECK(whole.value().json().at("usage").at("completion_tokens") == 5);
    }
    SECTION("in small pieces that join to the same events")
    {
        engine.post("/control/fault?kind=split_chunks");
        REQUIRE(caller.begin(chat_call("", "ledger", 3, true)));
        const auto events = caller.all_events();
        REQUIRE(events);
        CHECK(events.value().size() == 4);
    }
    SECTION("unless it closes in the middle which is no orderly end")
    {
        engine.post("/control/fault?kind=close_after_head");
        REQUIRE(caller.begin(chat_call("", "ledger", 5, true)));
        CHECK_FALSE(caller.all_events());
    }
}

TEST_CASE("the engine stops work for a client that leaves and gives its slot to the next")
{
    const standin engine("engine", {"--name", "e1", "--tokens-per-second", "20", "--slots", "1"});
    http_caller leaver(engine.address());

    SECTION("in the middle of a stream")
    {
        REQUIRE(leaver.begin(chat_call("", "ledger", 10'000, true)));
        REQUIRE(leaver.next_event());
        CHECK(cancels_of(engine) == 0);
        leaver.abandon();
    }
    SECTION("before its whole answer is ready")
    {
        REQUIRE(leaver.start(chat_call("", "ledger", 10'000, false)));
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CHECK(cancels_of(engine) == 0);
        leaver.abandon();
    }
    CHECK(send_once(engine.address(), chat_call("", "next", 1, false)));
    CHECK(cancels_of(engine) == 1);
}

TEST_CASE("a prompt prefix that the engine has seen brings the first token sooner")
{
    const standin engine(
        "engine", {"--name", "e1", "--prefill-tokens-per-second", "2000", "--tokens-per-second", "200"});
    const call request = chat_call("", std::string(4'000, 'x'), 1, true);
    const auto cold = time_to_first_event(engine.address(), request);
    const auto warm = time_to_first_event(engine.address(), request);
    CHECK(cold > std::chrono::milliseconds(400));
    CHECK(warm < cold / 2);
}

TEST_CASE("an engine that checks fencing refuses an order with an old number")
{
    const standin engine("engine", {"--name", "e1", "--refuse-old-fencing"});
    const auto order = [&](const std::string& fencing) {
        return engine.call_it({"POST", "/v1/orders", "{}", "", {{"X-Fencing", fencing}}}).status;
    };
    CHECK(order("5") == 200);
    CHECK(order("4") == 409);
    CHECK(order("6") == 200);
}

TEST_CASE("the service records every run with its headers and body")
{
    const standin service("service", {"--name", "f1"});
    const call submission{
        "POST", "/filing/submissions", R"({"line":1})", "", {{"X-Ticket", "t-1"}, {"X-Run-By-Ms", "900"}}};
    CHECK(service.call_it(submission).status == 201);

    SECTION("and shows them to the test")
    {
        const auto seen = service.get("/control/seen").json();
        const auto& run = seen.at("runs").at(0);
        CHECK(run.at("ticket") == "t-1");
        CHECK(run.at("run_by_ms") == "900");
        CHECK(run.at("body") == R"({"line":1})");
        CHECK(run.at("headers").as_array().size() >= 3);
    }
    SECTION("also when it closes without an answer")
    {
        service.post("/control/fault?kind=close_after_request_body");
        CHECK_FALSE(send_once(service.address(), submission));
        CHECK(service.get("/control/seen").json().at("runs_total") == 2);
    }
    SECTION("and runs nothing when it refuses the connection")
    {
        service.post("/control/fault?kind=refuse");
        CHECK_FALSE(send_once(service.address(), submission));
        CHECK(service.get("/control/seen").json().at("runs_total") == 1);
    }
    SECTION("and answers reads")
    {
        CHECK(service.get("/public/hours").status == 200);
        CHECK(service.get("/nowhere").status == 404);
    }
}
