#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

const std::string body = R"({"declaration":"2026-Q4"})";

fleet_plan guarded_plan()
{
    fleet_plan plan = one_region(programs(), 2);
    plan.settings = {"tickets.run_by_ms = 2000", "tickets.lifetime_ms = 60000"};
    return plan;
}

} // namespace

TEST_CASE("a guarded call runs at most once")
{
    fleet fleet(guarded_plan());
    const endpoint issuer = fleet.entry("riga-a");
    const endpoint other = fleet.entry("riga-b");
    const std::string ticket = take_ticket(issuer, keys::carrier);
    REQUIRE_FALSE(ticket.empty());
    const call guarded = submission(keys::carrier, body, ticket);

    SECTION("and not at all without a ticket")
    {
        const auto bare = send_once(issuer, submission(keys::carrier, body, ""));
        REQUIRE(bare);
        CHECK(bare.value().status == 428);
        CHECK(bare.value().error_outcome() == "not_run");
        CHECK(fleet.runs_of(body) == 0);
        const std::string fresh = bare.value().error_text("ticket");
        REQUIRE_FALSE(fresh.empty());
        CHECK(send_once(issuer, submission(keys::carrier, body, fresh)).value().status == 201);
        CHECK(fleet.runs_of(body) == 1);
    }
    SECTION("however often it is sent to both VMs at once")
    {
        constexpr int copies = 8;
        std::vector<std::future<result<answer>>> sent;
        sent.reserve(copies);
        for (int i = 0; i < copies; ++i) {
            sent.push_back(std::async(std::launch::async,
                                      [&, i] { return send_once(i % 2 == 0 ? issuer : other, guarded); }));
        }
        int done = 0;
        for (auto& each : sent) {
            const auto received = each.get();
            REQUIRE(received);
            done += received.value().status == 201 ? 1 : 0;
            if (received.value().status != 201) {
                CHECK(received.value().error_outcome() == "unknown");
            }
        }
        CHECK(done >= 1);
        CHECK(fleet.runs_of(body) == 1);
    }
    SECTION("and its kept answer is given again")
    {
        const auto first = send_once(issuer, guarded);
        const auto again = send_once(other, guarded);
        REQUIRE(first);
        REQUIRE(again);
        CHECK(first.value().status == 201);
        CHECK(again.value().body == first.value().body);
        CHECK(fleet.runs_of(body) == 1);
    }
    SECTION("and a ticket serves no second body or customer")
    {
        REQUIRE(send_once(issuer, guarded).value().status == 201);
        CHECK(send_once(issuer, submission(keys::carrier, "{\"other\":1}", ticket)).value().status == 409);
        CHECK(send_once(issuer, submission(keys::operator_key, body, ticket)).value().status == 409);
        CHECK(fleet.runs_of(body) == 1);
        CHECK(fleet.runs_of("{\"other\":1}") == 0);
    }
    SECTION("and a forged ticket runs nothing")
    {
        std::string forged = ticket;
        forged.back() = forged.back() == 'A' ? 'B' : 'A';
        forged[forged.size() / 2] = forged[forged.size() / 2] == 'A' ? 'B' : 'A';
        const auto refused = send_once(issuer, submission(keys::carrier, body, forged));
        REQUIRE(refused);
        CHECK(refused.value().status >= 400);
        CHECK(fleet.runs_of(body) == 0);
    }
}

TEST_CASE("nobody calls a guarded call not run when its issuer has gone")
{
    fleet fleet(guarded_plan());
    const std::string ticket = take_ticket(fleet.entry("riga-a"), keys::carrier);
    REQUIRE_FALSE(ticket.empty());
    const call guarded = submission(keys::carrier, body, ticket);

    SECTION("killed")
    {
        fleet.kill("riga-a");
        const auto received = send_once(fleet.entry("riga-b"), guarded, std::chrono::seconds(20));
        REQUIRE(received);
        CHECK(received.value().error_outcome() == "unknown");
        CHECK(fleet.runs_of(body) == 0);
    }
    SECTION("killed and restarted")
    {
        REQUIRE(send_once(fleet.entry("riga-a"), guarded).value().status == 201);
        fleet.kill("riga-a");
        fleet.start_vm("riga-a");
        REQUIRE(fleet.wait_ready("riga-a"));
        for (const char* vm : {"riga-a", "riga-b"}) {
            const auto received = send_once(fleet.entry(vm), guarded, std::chrono::seconds(20));
            REQUIRE(received);
            CHECK(received.value().error_outcome() == "unknown");
        }
        CHECK(fleet.runs_of(body) == 1);
    }
}

TEST_CASE("an issuer that was frozen past the run-by time starts nothing")
{
    fleet fleet(guarded_plan());
    const endpoint issuer = fleet.entry("riga-a");
    const call guarded = submission(keys::carrier, body, take_ticket(issuer, keys::carrier));
    http_caller late(issuer, std::chrono::seconds(20));
    REQUIRE(late.send(status_call).value().status == 200);
    fleet.freeze("riga-a");
    REQUIRE(late.start(guarded));
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    fleet.thaw("riga-a");
    const auto received = late.finish();
    REQUIRE(received);
    CHECK(received.value().error_outcome() == "not_run");
    CHECK(fleet.runs_of(body) == 0);
}

TEST_CASE("a refusal that says not run is true when the upstream fails")
{
    fleet fleet(guarded_plan());
    const endpoint issuer = fleet.entry("riga-a");
    const call guarded = submission(keys::carrier, body, take_ticket(issuer, keys::carrier));

    SECTION("after the request body")
    {
        fleet.set_upstream_fault("riga-f1", "kind=close_after_request_body");
        const auto received = send_once(issuer, guarded);
        REQUIRE(received);
        CHECK(received.value().error_outcome() == "unknown");
        fleet.set_upstream_fault("riga-f1", "kind=none");
        const auto again = send_once(issuer, guarded);
        REQUIRE(again);
        CHECK(again.value().error_outcome() == "unknown");
        CHECK(fleet.runs_of(body) == 1);
    }
    SECTION("after the response head")
    {
        fleet.set_upstream_fault("riga-f1", "kind=close_after_head");
        const auto received = send_once(issuer, guarded);
        const bool claims_not_run = received && received.value().error_outcome() == "not_run";
        CHECK_FALSE(claims_not_run);
        const bool claims_done = received && received.value().status == 201;
        CHECK_FALSE(claims_done);
        CHECK(fleet.runs_of(body) == 1);
    }
    SECTION("before any byte could leave")
    {
        fleet.kill("riga-f1");
        const auto received = send_once(issuer, guarded, std::chrono::seconds(20));
        REQUIRE(received);
        CHECK(received.value().error_outcome() == "not_run");
        fleet.start_upstream("riga-f1");
        CHECK(fleet.runs_of(body) == 0);
    }
}

TEST_CASE("a guarded call whose passed-on answer is lost is unknown and runs once")
{
    fleet_plan plan = guarded_plan();
    plan.proxy_peers = true;
    fleet fleet(plan);
    const call guarded = submission(keys::carrier, body, take_ticket(fleet.entry("riga-a"), keys::carrier));
    fleet.set_upstream_fault("riga-f1", "kind=delay&ms=1000");
    http_caller caller(fleet.entry("riga-b"), std::chrono::seconds(30));
    REQUIRE(caller.start(guarded));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    fleet.set_link_fault("peer:riga-a", "kind=cut");
    const auto received = caller.finish();
    REQUIRE(received);
    CHECK(received.value().error_outcome() == "unknown");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(fleet.runs_of(body) <= 1);
}
