#include "standin.h"

#include <csignal>
#include <thread>

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

constexpr std::chrono::milliseconds short_wait{200};

answer put(const standin& platform, const std::string& body, const std::string& version)
{
    return platform.call_it({"PUT", "/control/values/rules", body, "", {{"X-Version", version}}});
}

} // namespace

TEST_CASE("the platform serves versioned values and wakes a waiting watch")
{
    standin platform("platform");
    CHECK(platform.get("/v1/values/rules").status == 404);
    CHECK(put(platform, "first", "7").header("X-Version") == "7");

    const answer read = platform.get("/v1/values/rules");
    CHECK(read.status == 200);
    CHECK(read.body == "first");
    CHECK(read.header("X-Version") == "7");

    SECTION("a watch for nothing newer ends with 304 after its wait")
    {
        const auto before = std::chrono::steady_clock::now();
        CHECK(platform.get("/v1/values/rules?after=7&wait_ms=200").status == 304);
        CHECK(std::chrono::steady_clock::now() - before >= short_wait);
    }
    SECTION("a watch wakes with the newer value and counts as one read")
    {
        const auto reads = platform.get("/control/reads").json().at("reads").as_int64();
        http_caller watch(platform.address());
        REQUIRE(watch.start({"GET", "/v1/values/rules?after=7&wait_ms=30000", "", "", {}}));
        std::this_thread::sleep_for(short_wait);
        put(platform, "second", "8");
        const auto woken = watch.finish();
        REQUIRE(woken);
        CHECK(woken.value().status == 200);
        CHECK(woken.value().body == "second");
        CHECK(platform.get("/control/reads").json().at("reads").as_int64() == reads + 1);
    }
    SECTION("a stale platform serves the value of the switch and a recovered one the newest")
    {
        platform.post("/control/mode?mode=stale");
        put(platform, "second", "8");
        CHECK(platform.get("/v1/values/rules").body == "first");
        CHECK(platform.get("/v1/values/rules?after=7&wait_ms=50").status == 304);
        platform.post("/control/mode?mode=up");
        CHECK(platform.get("/v1/values/rules").body == "second");
    }
    SECTION("a platform that is down answers nobody and ends the waiting watch")
    {
        http_caller watch(platform.address());
        REQUIRE(watch.start({"GET", "/v1/values/rules?after=7&wait_ms=30000", "", "", {}}));
        std::this_thread::sleep_for(short_wait);
        platform.post("/control/mode?mode=down");
        CHECK_FALSE(watch.finish());
        CHECK_FALSE(send_once(platform.address(), {"GET", "/v1/values/rules", "", "", {}}));
    }
    SECTION("it ends on SIGTERM")
    {
        platform.process().signal(SIGTERM);
        CHECK(platform.process().wait(std::chrono::seconds(5)) == 0);
    }
}
