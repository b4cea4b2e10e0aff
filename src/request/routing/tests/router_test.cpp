#include "fleet_fixture.h"

#include <map>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE_METHOD(fleet_fixture, "a request is never routed outside its residency")
{
    router here{riga, {}};
    add("k1", kurzeme);
    add_region_load(kurzeme, 0, 4);
    auto bound = query();
    bound.permitted = {riga};

    SECTION("home without capacity refuses and says not run")
    {
        publish(here);
        const auto refused = choose(here, bound);
        REQUIRE(!refused);
        CHECK(refused.error().kind == error_kind::no_permitted_region);
        CHECK(refused.error().outcome == run_outcome::not_run);
    }
    SECTION("home whose only upstream leaves refuses too")
    {
        const auto leaving = add("r1", riga);
        list.upstreams[leaving].state = listed_state::leaving;
        publish_and_fill(here);
        const auto refused = choose(here, bound);
        REQUIRE(!refused);
        CHECK(refused.error().kind == error_kind::upstream_unavailable);
        CHECK(refused.error().retry_after.has_value());
        AND_THEN("a customer without that bound is sent to the other region")
        {
            const auto sent = choose(here, query()).value();
            CHECK(sent.action == route_action::forward);
            CHECK(sent.region == kurzeme);
        }
    }
    SECTION("a full home keeps it waiting at home")
    {
        const auto only = add("r1", riga, 1);
        publish(here);
        here.set_limit(only, 1);
        load_with(here, 1);
        CHECK(choose(here, bound).value().action == route_action::wait);
    }
    SECTION("a peer that forwards what it may not is refused")
    {
        add("r1", riga);
        publish(here);
        auto forwarded = query();
        forwarded.permitted = {kurzeme};
        forwarded.origin = request_origin::peer;
        forwarded.hop_count = 1;
        forwarded.regions_passed = {kurzeme};
        CHECK(choose(here, forwarded).error().kind == error_kind::no_permitted_region);
    }
}

TEST_CASE_METHOD(fleet_fixture, "a request crosses between regions once at most")
{
    router here{riga, {}};
    const auto full = add("r1", riga, 1);
    add("k1", kurzeme, 1);
    add_region_load(kurzeme, 0, 1);
    publish_and_fill(here);
    here.set_limit(full, 1);
    load_with(here, 1);

    SECTION("two regions that each believe the other better end after one hop")
    {
        const auto first = choose(here, query()).value();
        REQUIRE(first.action == route_action::forward);

        fleet_fixture there_sees;
        there_sees.list = list;
        there_sees.add_region_load(riga, 0, 4);
        router there{kurzeme, {}};
        there_sees.publish_and_fill(there);
        there.set_limit(upstream_name{"k1"}, 1);
        there_sees.load_with(there, 1);
        CHECK(there_sees.choose(there, query()).value().action == route_action::forward);
        auto hopped = query();
        hopped.origin = request_origin::peer;
        hopped.hop_count = 1;
        hopped.regions_passed = {riga};
        CHECK(there_sees.choose(there, hopped).value().action == route_action::wait);
    }
    SECTION("a missing hop count from a peer does not open a second hop")
    {
        auto missing = query();
        missing.origin = request_origin::peer;
        CHECK(choose(here, missing).value().action == route_action::wait);
    }
    SECTION("forged hops are refused")
    {
        auto forged = query();
        forged.hop_count = 1;
        forged.regions_passed = {kurzeme};
        CHECK(choose(here, forged).error().kind == error_kind::invalid_request);
        forged.origin = request_origin::peer;
        forged.hop_count = 0;
        CHECK(choose(here, forged).error().kind == error_kind::invalid_request);
        forged.hop_count = 2;
        forged.regions_passed = {kurzeme, latgale};
        CHECK(choose(here, forged).error().kind == error_kind::invalid_request);
    }
    SECTION("a request that comes back to its region is refused")
    {
        auto back = query();
        back.origin = request_origin::peer;
        back.hop_count = 1;
        back.regions_passed = {riga};
        CHECK(choose(here, back).error().kind == error_kind::invalid_request);
    }
}

TEST_CASE_METHOD(fleet_fixture, "a request is sent away only where that pays")
{
    router here{riga, {}};
    const auto home = add("r1", riga, 1);
    add("k1", kurzeme);
    add_region_load(kurzeme, 0, 4);

    SECTION("home that meets the target keeps it")
    {
        publish(here);
        CHECK(choose(here, query()).value().upstream == home);
    }
    SECTION("home that misses the target keeps it while the other would miss too")
    {
        add_region_load(kurzeme, 40, 4);
        publish_and_fill(here);
        here.set_limit(home, 1);
        load_with(here, 1);
        const auto kept = choose(here, query()).value();
        CHECK(kept.action == route_action::wait);
        CHECK(noted(kept, route_reason::region_misses_target));
    }
    SECTION("the link's budget bounds what is sent")
    {
        current.links["riga-kurzeme"].requests_per_second = 2;
        publish_and_fill(here);
        here.set_limit(home, 1);
        load_with(here, 1);
        CHECK(choose(here, query()).value().action == route_action::forward);
        CHECK(choose(here, query()).value().action == route_action::forward);
        const auto kept = choose(here, query()).value();
        CHECK(kept.action == route_action::wait);
        CHECK(noted(kept, route_reason::link_budget_exhausted));
    }
    SECTION("old figures of a region are no reason to send there")
    {
        publish(here);
        here.set_limit(home, 1);
        load_with(here, 1);
        now += 60s;
        CHECK(choose(here, query()).value().action == route_action::wait);
    }
}

TEST_CASE_METHOD(fleet_fixture, "a prompt's prefix goes where it is cached while the load allows")
{
    router here{riga, {}};
    for (const auto* name : {"r1", "r2", "r3", "r4"}) {
        add(name, riga, 8);
    }
    publish(here);
    auto repeated = query(4'000);
    repeated.prefix_digest = prefix_digest_of("annex");
    repeated.prefix_tokens = 3'500;
    const auto first = choose(here, repeated).value();

    SECTION("another VM agrees without a message")
    {
        router other{riga, {}};
        publish(other);
        CHECK(choose(other, repeated).value().upstream == first.upstream);
        CHECK(first.prefill_tokens == 500);
    }
    SECTION("an upstream that others load above the bound loses the preference")
    {
        for (const auto* name : {"r1", "r2", "r3", "r4"}) {
            const bool loaded = upstream_name{name} == first.upstream;
            view.upstream_loads[upstream_name{name}] = {loaded ? 4.0 : 0.0, 0ms};
        }
        router other{riga, {}};
        publish(other);
        CHECK(choose(other, repeated).value().upstream != first.upstream);
    }
    SECTION("a popular prefix spills over to more upstreams")
    {
        std::map<upstream_name, int> spread;
        for (int i = 0; i < 16; ++i) {
            const auto choice = choose(here, repeated).value();
            here.started(choice, repeated, now);
            ++spread[choice.upstream];
        }
        CHECK(spread.size() > 1);
        CHECK(spread[first.upstream] <= 8);
    }
}

TEST_CASE_METHOD(fleet_fixture, "own requests count at once and published load corrects them")
{
    router here{riga, {}};
    const auto first = add("r1", riga, 8);
    const auto second = add("r2", riga, 8);
    publish(here);

    SECTION("own requests spread without any report")
    {
        load_with(here, 8);
        CHECK(here.in_flight(first) == 4);
        CHECK(here.in_flight(second) == 4);
    }
    SECTION("requests of other VMs turn this one away")
    {
        load_with(here, 2);
        view.upstream_loads[first] = {7, 0ms};
        publish(here);
        load_with(here, 4);
        CHECK(here.in_flight(first) == 1);
        CHECK(here.in_flight(second) == 5);
    }
    SECTION("own requests in the report are not counted twice")
    {
        load_with(here, 8);
        view.upstream_loads[first] = {4, 0ms};
        publish(here);
        load_with(here, 2);
        CHECK(here.in_flight(first) == 5);
    }
}

TEST_CASE_METHOD(fleet_fixture, "VMs before one upstream share its slots")
{
    current.vms[vm_name{"vm-riga-2"}].region = riga;
    const auto upstream = add("r1", riga, 8);
    router here{riga, {}};

    SECTION("without a report each may fill its equal part")
    {
        publish(here);
        CHECK(here.open_slots(upstream, now) == 4);
    }
    SECTION("what the others leave free is open too")
    {
        view.upstream_loads[upstream] = {0, std::chrono::milliseconds{0}};
        publish(here);
        CHECK(here.open_slots(upstream, now) == 8);
        AND_THEN("until the report is old")
        {
            now += std::chrono::seconds{60};
            CHECK(here.open_slots(upstream, now) == 4);
        }
    }
    SECTION("others that fill theirs leave the equal part")
    {
        view.upstream_loads[upstream] = {7, std::chrono::milliseconds{0}};
        publish(here);
        CHECK(here.open_slots(upstream, now) == 4);
    }
    SECTION("a leaving upstream has none")
    {
        list.upstreams[upstream].state = listed_state::leaving;
        publish(here);
        CHECK(here.open_slots(upstream, now) == 0);
    }
}
