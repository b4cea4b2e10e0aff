#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

std::vector<std::string> stream_from(const endpoint& vm, const std::string& word, int tokens)
{
    http_caller caller(vm);
    const auto head = caller.begin(chat_call(keys::carrier, word, tokens, true));
    if (!head || head.value().status != 200) {
        return {};
    }
    auto events = caller.all_events();
    return events ? std::move(events).value() : std::vector<std::string>();
}

} // namespace

TEST_CASE("a caller receives the whole answer to its own request")
{
    const fleet fleet(one_region(programs(), 1));
    const endpoint vm = fleet.entry("riga-a");

    SECTION("streamed")
    {
        CHECK(is_whole_stream(stream_from(vm, "ledger", 6), "ledger", 6));
    }
    SECTION("in one piece with its usage and request id")
    {
        const auto whole = send_once(vm, chat_call(keys::carrier, "ledger", 3, false));
        REQUIRE(whole);
        CHECK(whole.value().status == 200);
        CHECK(whole.value().json().at("usage").at("completion_tokens") == 3);
        CHECK_FALSE(whole.value().header("X-Request-Id").empty());
    }
    SECTION("when chunks are split")
    {
        fleet.set_upstream_fault("riga-w1", "kind=split_chunks");
        CHECK(is_whole_stream(stream_from(vm, "ledger", 4), "ledger", 4));
    }
    SECTION("when chunks are slow")
    {
        fleet.set_upstream_fault("riga-w1", "kind=slow_chunks&ms=300");
        CHECK(is_whole_stream(stream_from(vm, "ledger", 3), "ledger", 3));
    }
    SECTION("when many ask at once")
    {
        constexpr int callers = 24;
        std::vector<std::future<bool>> answers;
        answers.reserve(callers);
        for (int i = 0; i < callers; ++i) {
            answers.push_back(std::async(std::launch::async, [vm, i] {
                const std::string word = "member-" + std::to_string(i);
                return is_whole_stream(stream_from(vm, word, 5), word, 5);
            }));
        }
        CHECK(std::all_of(answers.begin(), answers.end(), [](auto& answer) { return answer.get(); }));
    }
    SECTION("from a plain service and on a route that is open to all")
    {
        const auto status = send_once(vm, status_call);
        REQUIRE(status);
        CHECK(status.value().status == 200);
        CHECK(status.value().json().at("path") == "/filing/status");
        const auto hours = send_once(vm, open_call);
        REQUIRE(hours);
        CHECK(hours.value().status == 200);
    }
}

TEST_CASE("an answer that its upstream broke off never looks whole")
{
    const fleet fleet(one_region(programs(), 1));
    SECTION("as a stream")
    {
        fleet.set_upstream_fault("riga-w1", "kind=close_after_head");
        http_caller caller(fleet.entry("riga-a"));
        REQUIRE(caller.begin(chat_call(keys::carrier, "ledger", 5, true)));
        const auto events = caller.all_events();
        const bool claims_whole = events && is_whole_stream(events.value(), "ledger", 5);
        CHECK_FALSE(claims_whole);
        const bool says_done = events && !events.value().empty() && events.value().back() == "[DONE]";
        CHECK_FALSE(says_done);
    }
    SECTION("as one document")
    {
        fleet.set_upstream_fault("riga-f1", "kind=close_after_head");
        const auto received = send_once(fleet.entry("riga-a"), status_call);
        const bool claims_whole = received && received.value().status == 200;
        CHECK_FALSE(claims_whole);
    }
}

TEST_CASE("work at the engine stops when the caller leaves")
{
    const fleet fleet(one_region(programs(), 1));
    http_caller caller(fleet.entry("riga-a"));
    REQUIRE(caller.begin(chat_call(keys::carrier, "ledger", 2'000, true)));
    REQUIRE(caller.next_event());
    caller.abandon();
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (fleet.seen("riga-w1").at("cancels") == 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(fleet.seen("riga-w1").at("cancels") == 1);
}

TEST_CASE("a call works over a new connection when the pooled one has gone silent")
{
    fleet_plan plan = one_region(programs(), 1);
    plan.proxy_upstreams = true;
    const fleet fleet(plan);
    REQUIRE(send_once(fleet.entry("riga-a"), status_call).value().status == 200);
    fleet.set_link_fault("upstream:riga-f1", "kind=silence_open");
    const auto again = send_once(fleet.entry("riga-a"), status_call, std::chrono::seconds(20));
    REQUIRE(again);
    CHECK(again.value().status == 200);
}
