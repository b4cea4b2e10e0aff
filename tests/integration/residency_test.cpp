#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

TEST_CASE("a request is never served outside the regions of its customer")
{
    fleet fleet(two_regions(programs()));
    const call bound_chat = chat_call(keys::bound, "herd", 3, false);

    SECTION("it is passed to its own region")
    {
        const auto served = send_once(fleet.entry("riga-a"), bound_chat);
        REQUIRE(served);
        CHECK(served.value().status == 200);
        CHECK(fleet.seen("kurzeme-w1").at("runs_total") == 1);
    }
    SECTION("it is refused where its region has nothing that serves it")
    {
        for (const char* vm : {"riga-a", "kurzeme-a"}) {
            const auto refused = send_once(fleet.entry(vm), {"GET", "/filing/status", "", keys::bound, {}});
            REQUIRE(refused);
            CHECK(refused.value().error_code() == "no_permitted_region");
            CHECK(refused.value().error_outcome() == "not_run");
        }
        CHECK(fleet.seen("riga-f1").at("total") == 0);
    }
    SECTION("it is refused when its region has lost its capacity")
    {
        fleet.kill("kurzeme-w1");
        for (const char* vm : {"riga-a", "kurzeme-a"}) {
            const auto refused = send_once(fleet.entry(vm), bound_chat, std::chrono::seconds(30));
            REQUIRE(refused);
            CHECK(refused.value().status >= 500);
        }
    }
    SECTION("a caller's own hop headers change nothing")
    {
        call forged = bound_chat;
        forged.headers = {{"X-Hops", "0"},
                          {"X-Region", "riga"},
                          {"X-Regions-Passed", "kurzeme"},
                          {"X-Forwarded-For", "127.0.0.1"},
                          {"X-Customer", "carrier"}};
        const auto served = send_once(fleet.entry("riga-b"), forged);
        REQUIRE(served);
        CHECK(served.value().status == 200);
    }
    SECTION("a caller who speaks to the peers' listener is not served")
    {
        const auto refused = send_once(fleet.peer("riga-a"), bound_chat, std::chrono::seconds(3));
        const bool served = refused && refused.value().status == 200;
        CHECK_FALSE(served);
    }
    CHECK(fleet.seen("riga-w1").at("total") == 0);
}

TEST_CASE("a request that neither region can serve makes no loop")
{
    fleet fleet(two_regions(programs()));
    fleet.kill("riga-w1");
    fleet.kill("kurzeme-w1");
    const auto before = std::chrono::steady_clock::now();
    const auto refused = send_once(fleet.entry("riga-a"), chat_call(keys::carrier, "ledger", 3, false),
                                   std::chrono::seconds(30));
    REQUIRE(refused);
    CHECK(refused.value().status >= 500);
    CHECK(refused.value().error_outcome() == "not_run");
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds(15));
}

TEST_CASE("a region that has lost its engine sends its callers to the other")
{
    fleet fleet(two_regions(programs()));
    fleet.kill("riga-w1");
    const auto served = send_once(fleet.entry("riga-a"), chat_call(keys::carrier, "ledger", 3, false),
                                  std::chrono::seconds(30));
    REQUIRE(served);
    CHECK(served.value().status == 200);
    CHECK(fleet.seen("kurzeme-w1").at("runs_total") == 1);
}

TEST_CASE("an upstream that is leaving receives no new work after a few seconds")
{
    fleet_plan plan = one_region(programs(), 1);
    plan.upstreams.push_back({"riga-w2", "drafting", "riga", "riga-1"});
    fleet fleet(plan);
    const endpoint vm = fleet.entry("riga-a");
    fleet.list_upstream("riga-w1", "leaving");
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const auto before = fleet.seen("riga-w1").at("total");
    for (int i = 0; i < 10; ++i) {
        const auto served = send_once(vm, chat_call(keys::carrier, "ledger" + std::to_string(i), 2, false));
        REQUIRE(served);
        CHECK(served.value().status == 200);
    }
    CHECK(fleet.seen("riga-w1").at("total") == before);
}

TEST_CASE("the entry answer names only VMs that may serve the customer")
{
    const fleet fleet(two_regions(programs()));
    const auto entry = send_once(fleet.entry("riga-a"), {"GET", "/v1/entry", "", keys::bound, {}});
    REQUIRE(entry);
    const boost::json::value body = entry.value().json();
    const auto& vms = body.at("entries").as_array();
    CHECK_FALSE(vms.empty());
    for (const auto& vm : vms) {
        CHECK(vm.at("region").as_string() == "kurzeme");
    }
}
