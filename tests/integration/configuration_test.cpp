#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

constexpr std::chrono::seconds in_force_limit{3};
const std::string late_key = "cs-test-key-that-comes-late";
const call late_call{"GET", "/filing/status", "", late_key, {}};

std::vector<std::string> with_late_key(std::vector<std::string> lines)
{
    lines.push_back(key_rule_line("late", "carrier", late_key));
    return lines;
}

} // namespace

TEST_CASE("a VM takes callers once it has rules")
{
    fleet_plan plan = one_region(programs(), 1);
    plan.platform_up = false;
    fleet fleet(plan);
    CHECK_FALSE(fleet.wait_ready("riga-a", std::chrono::seconds(2)));
    CHECK(fleet.process("riga-a").running());
    fleet.set_platform_mode("up");
    REQUIRE(fleet.wait_ready("riga-a"));
    CHECK(send_once(fleet.entry("riga-a"), status_call).value().status == 200);
}

TEST_CASE("an accepted version is in force everywhere within seconds and never reverts")
{
    fleet fleet(one_region(programs(), 2));
    const endpoint first = fleet.entry("riga-a");
    const endpoint second = fleet.entry("riga-b");
    const auto old_rules = fleet.plan().rules;
    const auto in_force = [&](unsigned status) {
        return wait_for_status(first, late_call, status, in_force_limit) &&
               wait_for_status(second, late_call, status, in_force_limit);
    };
    REQUIRE(in_force(401));

    SECTION("when the service serves an older value")
    {
        fleet.publish_rules(with_late_key(old_rules));
        REQUIRE(in_force(200));
        fleet.publish_rules(old_rules, 1);
        std::this_thread::sleep_for(in_force_limit);
        CHECK(in_force(200));
    }
    SECTION("when the service is stale and a VM restarts")
    {
        fleet.set_platform_mode("stale");
        fleet.set_platform_mode("up");
        fleet.publish_rules(with_late_key(old_rules));
        REQUIRE(in_force(200));
        fleet.publish_rules(old_rules, 1);
        fleet.kill("riga-b");
        fleet.start_vm("riga-b");
        REQUIRE(fleet.wait_ready("riga-b"));
        CHECK(send_once(second, late_call).value().status == 200);
    }
    SECTION("when a version does not parse")
    {
        fleet.publish_raw_rules("version = 2\ncustomers.carrier = { rate = ");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        CHECK(send_once(first, status_call).value().status == 200);
        fleet.publish_rules(with_late_key(old_rules));
        CHECK(in_force(200));
    }
    SECTION("when versions come in quick succession")
    {
        for (int i = 0; i < 20; ++i) {
            fleet.publish_rules(i % 2 == 0 ? with_late_key(old_rules) : old_rules);
        }
        fleet.publish_rules(with_late_key(old_rules));
        CHECK(in_force(200));
    }
    SECTION("when the service goes down afterwards")
    {
        fleet.publish_rules(with_late_key(old_rules));
        REQUIRE(in_force(200));
        fleet.set_platform_mode("down");
        fleet.kill("riga-b");
        fleet.start_vm("riga-b");
        REQUIRE(fleet.wait_ready("riga-b"));
        CHECK(send_once(second, late_call).value().status == 200);
    }
}
