#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

constexpr std::chrono::seconds withdrawal_limit{3};

bool key_reached(const fleet& fleet, const std::string& upstream, const std::string& key)
{
    return boost::json::serialize(fleet.seen(upstream)).find(key) != std::string::npos;
}

} // namespace

TEST_CASE("no upstream ever sees a key")
{
    const fleet fleet(one_region(programs(), 1));
    const endpoint vm = fleet.entry("riga-a");
    call request = status_call;

    SECTION("given in the usual place")
    {
        REQUIRE(send_once(vm, request).value().status == 200);
        REQUIRE(send_once(vm, chat_call(keys::carrier, "ledger", 2, false)).value().status == 200);
    }
    SECTION("repeated in other headers")
    {
        request.headers = {{"X-Api-Key", keys::carrier},
                           {"Api-Key", keys::carrier},
                           {"Proxy-Authorization", "Bearer " + keys::carrier},
                           {"Cookie", "session=" + keys::carrier},
                           {"X-Anything", "prefix " + keys::carrier}};
        REQUIRE(send_once(vm, request));
    }
    SECTION("repeated in the query")
    {
        request.target += "?api_key=" + keys::carrier;
        REQUIRE(send_once(vm, request));
    }
    SECTION("repeated in the query with escapes")
    {
        std::string escaped;
        for (const char letter : keys::carrier) {
            escaped += letter == 'c' ? std::string("%63") : std::string(1, letter);
        }
        request.target += "?api_key=" + escaped;
        REQUIRE(send_once(vm, request));
        CHECK_FALSE(key_reached(fleet, "riga-f1", escaped));
    }
    SECTION("repeated in the body")
    {
        REQUIRE(send_once(vm, chat_call(keys::carrier, keys::carrier, 2, false)));
        call guarded =
            submission(keys::carrier, "{\"key\":\"" + keys::carrier + "\"}", take_ticket(vm, keys::carrier));
        REQUIRE(send_once(vm, guarded));
    }
    SECTION("of another customer beside the caller's own")
    {
        request.headers = {{"Authorization", "Bearer " + keys::operator_key}};
        REQUIRE(send_once(vm, request));
        CHECK_FALSE(key_reached(fleet, "riga-f1", keys::operator_key));
    }
    CHECK_FALSE(key_reached(fleet, "riga-f1", keys::carrier));
    CHECK_FALSE(key_reached(fleet, "riga-w1", keys::carrier));
}

TEST_CASE("a request runs only for the customer whose key came with it")
{
    fleet_plan plan = one_region(programs(), 1);
    plan.rules = rules_without(plan.rules, "routes.status");
    plan.rules.emplace_back(R"(routes.status = { path = "/filing/status", methods = ["GET"], )"
                            R"(pool = "filing", customers = ["carrier"] } # asked by: filing desk)");
    const fleet fleet(plan);
    http_caller shared(fleet.entry("riga-a"));
    const auto status_with = [&](const std::string& key) {
        const auto received = shared.send({"GET", "/filing/status", "", key, {}});
        return received ? received.value().status : 0U;
    };
    CHECK(status_with(keys::carrier) == 200);
    CHECK(status_with(keys::operator_key) == 403);
    CHECK(status_with("") == 401);
    CHECK(status_with("cs-guessed") == 401);
    CHECK(status_with(keys::carrier) == 200);
}

TEST_CASE("a withdrawn key stops working within seconds")
{
    fleet fleet(one_region(programs(), 2));
    const endpoint vm = fleet.entry("riga-b");
    const auto withdraw = [&] { fleet.publish_rules(rules_without(fleet.plan().rules, "keys.carrier-1")); };
    SECTION("on an open stream")
    {
        http_caller stream(vm);
        REQUIRE(stream.begin(chat_call(keys::carrier, "ledger", 2'000, true)));
        REQUIRE(stream.next_event());
        const auto before = std::chrono::steady_clock::now();
        withdraw();
        const auto rest = stream.all_events();
        const bool whole = rest && !rest.value().empty() && rest.value().back() == "[DONE]";
        CHECK_FALSE(whole);
        CHECK(std::chrono::steady_clock::now() - before < withdrawal_limit);
    }
    SECTION("on an idle connection")
    {
        http_caller idle(vm);
        REQUIRE(idle.send(status_call).value().status == 200);
        withdraw();
        std::this_thread::sleep_for(withdrawal_limit);
        auto refused = idle.send(status_call);
        if (!refused) {
            refused = send_once(vm, status_call);
        }
        REQUIRE(refused);
        CHECK(refused.value().status == 401);
    }
    SECTION("at a VM that slept through the withdrawal")
    {
        http_caller idle(vm);
        REQUIRE(idle.send(status_call).value().status == 200);
        fleet.freeze("riga-b");
        withdraw();
        std::this_thread::sleep_for(withdrawal_limit);
        fleet.thaw("riga-b");
        CHECK(wait_for_status(vm, status_call, 401, withdrawal_limit));
    }
    SECTION("while the other customers go on")
    {
        withdraw();
        CHECK(wait_for_status(vm, status_call, 401, withdrawal_limit));
        CHECK(send_once(vm, {"GET", "/filing/status", "", keys::operator_key, {}}).value().status == 200);
    }
}

TEST_CASE("a withdrawal reaches a VM that cannot reach the configuration service")
{
    fleet_plan plan = one_region(programs(), 2);
    plan.proxy_platform = true;
    fleet fleet(plan);
    fleet.set_link_fault("platform:riga-b", "kind=cut");
    fleet.publish_rules(rules_without(plan.rules, "keys.carrier-1"));
    CHECK(wait_for_status(fleet.entry("riga-a"), status_call, 401, withdrawal_limit));
    CHECK(wait_for_status(fleet.entry("riga-b"), status_call, 401, withdrawal_limit));
}
