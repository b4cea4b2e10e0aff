#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

constexpr int stream_count = 100;
constexpr int stream_tokens = 60;

std::vector<std::future<bool>> open_streams(const endpoint& vm)
{
    std::vector<std::future<bool>> streams;
    streams.reserve(stream_count);
    for (int i = 0; i < stream_count; ++i) {
        streams.push_back(std::async(std::launch::async, [vm, i] {
            const std::string word = "member-" + std::to_string(i);
            http_caller caller(vm, std::chrono::seconds(30));
            const auto head = caller.begin(chat_call(keys::carrier, word, stream_tokens, true));
            if (!head || head.value().status != 200) {
                return false;
            }
            const auto events = caller.all_events();
            return events && is_whole_stream(events.value(), word, stream_tokens);
        }));
    }
    return streams;
}

void wait_until_running(const fleet& fleet)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (fleet.seen("riga-w1").at("runs_total").as_int64() < stream_count &&
           std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    REQUIRE(fleet.seen("riga-w1").at("runs_total") == stream_count);
}

} // namespace

TEST_CASE("a planned stop cuts off no request")
{
    fleet_plan plan = one_region(programs(), 2);
    plan.upstreams.front().slots = stream_count;
    plan.upstreams.front().arguments = {"--tokens-per-second", "30"};
    fleet fleet(plan);
    auto streams = open_streams(fleet.entry("riga-a"));
    wait_until_running(fleet);
    fleet.process("riga-a").signal(SIGTERM);

    SECTION("though it is told twice")
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        fleet.process("riga-a").signal(SIGTERM);
    }
    SECTION("and the other VM no longer names it to callers")
    {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const auto entry = send_once(fleet.entry("riga-b"), {"GET", "/v1/entry", "", keys::carrier, {}});
        REQUIRE(entry);
        CHECK(entry.value().body.find(fleet.entry("riga-a").str()) == std::string::npos);
    }
    const auto whole =
        std::count_if(streams.begin(), streams.end(), [](auto& stream) { return stream.get(); });
    CHECK(whole == stream_count);
    CHECK(fleet.process("riga-a").wait(std::chrono::seconds(15)) == 0);
}

TEST_CASE("a guarded call that runs while its VM stops is answered and its ticket serves no second run")
{
    fleet fleet(one_region(programs(), 2));
    const std::string body = R"({"declaration":"2026-Q4"})";
    const call guarded = submission(keys::carrier, body, take_ticket(fleet.entry("riga-a"), keys::carrier));
    fleet.set_upstream_fault("riga-f1", "kind=delay&ms=1000");
    http_caller caller(fleet.entry("riga-a"));
    REQUIRE(caller.start(guarded));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.process("riga-a").signal(SIGTERM);
    const auto received = caller.finish();
    REQUIRE(received);
    CHECK(received.value().status == 201);
    CHECK(fleet.process("riga-a").wait(std::chrono::seconds(15)) == 0);
    REQUIRE(send_once(fleet.entry("riga-b"), guarded, std::chrono::seconds(20)));
    CHECK(fleet.runs_of(body) == 1);
}

TEST_CASE("a planned stop answers a request that is half sent when nothing else runs")
{
    fleet fleet(one_region(programs(), 2));
    http_caller caller(fleet.entry("riga-a"));
    REQUIRE(caller.send_raw("GET /v1/entry HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + keys::carrier));
    fleet.process("riga-a").signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    CHECK(caller.send_raw("\r\n\r\n"));
    const auto received = caller.finish();
    REQUIRE(received);
    CHECK(received.value().status == 200);
    CHECK(received.value().header("Connection") == "close");
    CHECK(fleet.process("riga-a").wait(std::chrono::seconds(15)) == 0);
}
