#include "fleet_fixture.h"

#include <map>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE_METHOD(fleet_fixture, "a request is never routed outside its residency")
{
    router riga_router{riga, {}};
    add("k1", kurzeme);
    add_region_load(kurzeme, 0, 4);
    auto restricted = query();
    restricted.permitted = {riga};

    SECTION("a home region without the pool refuses with outcome not_run")
    {
        publish(riga_router);
        const auto refused = choose(riga_router, restricted);
        REQUIRE(!refused);
        CHECK(refused.error().kind == error_kind::no_permitted_region);
        CHECK(refused.error().outcome == run_outcome::not_run);
    }
    SECTION("a home region whose only upstream is leaving refuses")
    {
        const auto leaving = add("r1", riga);
        list.upstreams[leaving].state = listed_state::leaving;
        publish_and_fill(riga_router);
        const auto refused = choose(riga_router, restricted);
        REQUIRE(!refused);
        CHECK(refused.error().kind == error_kind::upstream_unavailable);
        CHECK(refused.error().retry_after.has_value());
        AND_THEN("a customer without that restriction is forwarded to the other region")
        {
            const auto sent = choose(riga_router, query()).value();
            CHECK(sent.action == route_action::forward);
            CHECK(sent.region == kurzeme);
        }
    }
    SECTION("a request waits while the home region is at its limit")
    {
        const auto only = add("r1", riga, 1);
        publish(riga_router);
        riga_router.set_limit(only, 1);
        load_with(riga_router, 1);
        CHECK(choose(riga_router, restricted).value().action == route_action::wait);
    }
    SECTION("a forwarded request that may not run in this region is refused")
    {
        add("r1", riga);
        publish(riga_router);
        auto forwarded = query();
        forwarded.permitted = {kurzeme};
        forwarded.origin = request_origin::peer;
        forwarded.hop_count = 1;
        forwarded.regions_passed = {kurzeme};
        CHECK(choose(riga_router, forwarded).error().kind == error_kind::no_permitted_region);
    }
}

TEST_CASE_METHOD(fleet_fixture, "a request is forwarded between regions at most once")
{
    router riga_router{riga, {}};
    const auto full = add("r1", riga, 1);
    add("k1", kurzeme, 1);
    add_region_load(kurzeme, 0, 1);
    publish_and_fill(riga_router);
    riga_router.set_limit(full, 1);
    load_with(riga_router, 1);

    SECTION("two regions that would each forward to the other stop after one hop")
    {
        const auto first = choose(riga_router, query()).value();
        REQUIRE(first.action == route_action::forward);

        fleet_fixture kurzeme_fleet;
        kurzeme_fleet.list = list;
        kurzeme_fleet.add_region_load(riga, 0, 4);
        router kurzeme_router{kurzeme, {}};
        kurzeme_fleet.publish_and_fill(kurzeme_router);
        kurzeme_router.set_limit(upstream_name{"k1"}, 1);
        kurzeme_fleet.load_with(kurzeme_router, 1);
        CHECK(kurzeme_fleet.choose(kurzeme_router, query()).value().action == route_action::forward);
        auto hopped = query();
        hopped.origin = request_origin::peer;
        hopped.hop_count = 1;
        hopped.regions_passed = {riga};
        CHECK(kurzeme_fleet.choose(kurzeme_router, hopped).value().action == route_action::wait);
    }
    SECTION("a request from a peer without a hop count is not forwarded again")
    {
        auto missing = query();
        missing.origin = request_origin::peer;
        CHECK(choose(riga_router, missing).value().action == route_action::wait);
    }
    SECTION("inconsistent hop fields are refused")
    {
        auto forged = query();
        forged.hop_count = 1;
        forged.regions_passed = {kurzeme};
        CHECK(choose(riga_router, forged).error().kind == error_kind::invalid_request);
        forged.origin = request_origin::peer;
        forged.hop_count = 0;
        CHECK(choose(riga_router, forged).error().kind == error_kind::invalid_request);
        forged.hop_count = 2;
        forged.regions_passed = {kurzeme, latgale};
        CHECK(choose(riga_router, forged).error().kind == error_kind::invalid_request);
    }
    SECTION("a request that returns to a region it passed is refused")
    {
        auto back = query();
        back.origin = request_origin::peer;
        back.hop_count = 1;
        back.regions_passed = {riga};
        CHECK(choose(riga_router, back).error().kind == error_kind::invalid_request);
    }
}

TEST_CASE_METHOD(fleet_fixture, "a request is forwarded only if the other region meets the target")
{
    router riga_router{riga, {}};
    const auto home = add("r1", riga, 1);
    add("k1", kurzeme);
    add_region_load(kurzeme, 0, 4);

    SECTION("the home region serves it while it meets the target")
    {
        publish(riga_router);
        CHECK(choose(riga_router, query()).value().upstream == home);
    }
    SECTION("the home region keeps it if the other region misses the target too")
    {
        add_region_load(kurzeme, 40, 4);
        publish_and_fill(riga_router);
        riga_router.set_limit(home, 1);
        load_with(riga_router, 1);
        const auto kept = choose(riga_router, query()).value();
        CHECK(kept.action == route_action::wait);
        CHECK(noted(kept, route_reason::region_misses_target));
    }
    SECTION("the link budget limits the forwarded requests")
    {
        current.links["riga-kurzeme"].requests_per_second = 2;
        publish_and_fill(riga_router);
        riga_router.set_limit(home, 1);
        load_with(riga_router, 1);
        CHECK(choose(riga_router, query()).value().action == route_action::forward);
        CHECK(choose(riga_router, query()).value().action == route_action::forward);
        const auto kept = choose(riga_router, query()).value();
        CHECK(kept.action == route_action::wait);
        CHECK(noted(kept, route_reason::link_budget_exhausted));
    }
    SECTION("an old load report does not count")
    {
        publish(riga_router);
        riga_router.set_limit(home, 1);
        load_with(riga_router, 1);
        now += 60s;
        CHECK(choose(riga_router, query()).value().action == route_action::wait);
    }
}

TEST_CASE_METHOD(fleet_fixture, "prefix affinity applies within the load bound")
{
    router riga_router{riga, {}};
    for (const auto* name : {"r1", "r2", "r3", "r4"}) {
        add(name, riga, 8);
    }
    publish(riga_router);
    auto repeated = query(4'000);
    repeated.prefix_digest = prefix_digest_of("annex");
    repeated.prefix_tokens = 3'500;
    const auto first = choose(riga_router, repeated).value();

    SECTION("another VM chooses the same upstream without communication")
    {
        router other{riga, {}};
        publish(other);
        CHECK(choose(other, repeated).value().upstream == first.upstream);
        CHECK(first.prefill_tokens == 500);
    }
    SECTION("an upstream loaded above the bound by other VMs is not preferred")
    {
        for (const auto* name : {"r1", "r2", "r3", "r4"}) {
            const bool loaded = upstream_name{name} == first.upstream;
            view.upstream_loads[upstream_name{name}] = {loaded ? 4.0 : 0.0, 0ms};
        }
        router other{riga, {}};
        publish(other);
        CHECK(choose(other, repeated).value().upstream != first.upstream);
    }
    SECTION("a popular prefix spreads over several upstreams")
    {
        std::map<upstream_name, int> spread;
        for (int i = 0; i < 16; ++i) {
            const auto choice = choose(riga_router, repeated).value();
            riga_router.started(choice, repeated, now);
            ++spread[choice.upstream];
        }
        CHECK(spread.size() > 1);
        CHECK(spread[first.upstream] <= 8);
    }
}

TEST_CASE_METHOD(fleet_fixture, "own requests count immediately and published load adds those of other VMs")
{
    router riga_router{riga, {}};
    const auto first = add("r1", riga, 8);
    const auto second = add("r2", riga, 8);
    publish(riga_router);

    SECTION("own requests are balanced without a load report")
    {
        load_with(riga_router, 8);
        CHECK(riga_router.in_flight(first) == 4);
        CHECK(riga_router.in_flight(second) == 4);
    }
    SECTION("requests of other VMs shift own requests to another upstream")
    {
        load_with(riga_router, 2);
        view.upstream_loads[first] = {7, 0ms};
        publish(riga_router);
        load_with(riga_router, 4);
        CHECK(riga_router.in_flight(first) == 1);
        CHECK(riga_router.in_flight(second) == 5);
    }
    SECTION("own requests in the load report are not counted twice")
    {
        load_with(riga_router, 8);
        view.upstream_loads[first] = {4, 0ms};
        publish(riga_router);
        load_with(riga_router, 2);
        CHECK(riga_router.in_flight(first) == 5);
    }
}

TEST_CASE_METHOD(fleet_fixture, "the VMs of a region share the slots of an upstream")
{
    current.vms[vm_name{"vm-riga-2"}].region = riga;
    const auto upstream = add("r1", riga, 8);
    router riga_router{riga, {}};

    SECTION("without a load report each VM may use an equal share")
    {
        publish(riga_router);
        CHECK(riga_router.open_slots(upstream, now) == 4);
    }
    SECTION("slots that other VMs leave free may be used too")
    {
        view.upstream_loads[upstream] = {0, std::chrono::milliseconds{0}};
        publish(riga_router);
        CHECK(riga_router.open_slots(upstream, now) == 8);
        AND_THEN("until the load report is too old")
        {
            now += std::chrono::seconds{60};
            CHECK(riga_router.open_slots(upstream, now) == 4);
        }
    }
    SECTION("the equal share remains when other VMs use theirs")
    {
        view.upstream_loads[upstream] = {7, std::chrono::milliseconds{0}};
        publish(riga_router);
        CHECK(riga_router.open_slots(upstream, now) == 4);
    }
    SECTION("a leaving upstream has no open slots")
    {
        list.upstreams[upstream].state = listed_state::leaving;
        publish(riga_router);
        CHECK(riga_router.open_slots(upstream, now) == 0);
    }
}
