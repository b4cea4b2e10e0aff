#include "fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

struct two_upstream_fixture : fleet_fixture {
    router riga_router{riga, {}};
    upstream_name first = add("r1", riga);
    upstream_name second = add("r2", riga);

    two_upstream_fixture() { publish(riga_router); }

    void fail(const upstream_name& upstream, attempt_failure failure = attempt_failure::connect)
    {
        route_choice choice;
        choice.upstream = upstream;
        riga_router.failed(riga_router.started(choice, query(), now), failure, now, random);
    }

    upstream_name next() { return choose(riga_router, query()).value().upstream; }

    int times_chosen(const upstream_name& upstream, int of)
    {
        int chosen = 0;
        for (int i = 0; i < of; ++i) {
            chosen += next() == upstream ? 1 : 0;
        }
        return chosen;
    }
};

} // namespace

TEST_CASE_METHOD(two_upstream_fixture, "a leaving or unlisted upstream receives no new requests")
{
    SECTION("leaving")
    {
        list.upstreams[first].state = listed_state::leaving;
        publish(riga_router);
        CHECK(times_chosen(first, 20) == 0);
    }
    SECTION("unlisted while an own request is running there")
    {
        route_choice choice;
        choice.upstream = first;
        const auto running = riga_router.started(choice, query(), now);
        choice.upstream = second;
        for (int i = 0; i < 3; ++i) {
            riga_router.started(choice, query(), now);
        }
        REQUIRE(next() == first);
        list.upstreams.erase(first);
        publish(riga_router);
        CHECK(times_chosen(first, 20) == 0);
        riga_router.finished(running, now);
        CHECK(riga_router.in_flight(first) == 0);
    }
}

TEST_CASE_METHOD(two_upstream_fixture, "a failed upstream is probed by one request")
{
    fail(first);
    CHECK(times_chosen(first, 20) == 0);
    now += 600ms;
    const auto probe = choose(riga_router, query()).value();
    CHECK(probe.probe);
    CHECK(probe.upstream == first);
    auto attempt = riga_router.started(probe, query(), now);
    CHECK(times_chosen(first, 20) == 0);

    SECTION("its response ends the suspicion")
    {
        riga_router.first_byte(attempt, now);
        riga_router.finished(attempt, now);
        CHECK(times_chosen(first, 50) > 0);
    }
    SECTION("its failure doubles the backoff")
    {
        riga_router.failed(attempt, attempt_failure::timeout, now, random);
        now += 499ms;
        CHECK(times_chosen(first, 20) == 0);
        now += 502ms;
        CHECK(next() == first);
    }
    SECTION("if its caller disconnects, the next request probes")
    {
        riga_router.failed(attempt, attempt_failure::cancelled, now, random);
        CHECK(choose(riga_router, query()).value().probe);
    }
}

TEST_CASE_METHOD(two_upstream_fixture, "a request that may not be repeated does not probe")
{
    fail(first);
    now += 600ms;
    auto unrepeatable = query();
    unrepeatable.may_probe = false;
    CHECK(choose(riga_router, unrepeatable).value().upstream == second);
}

TEST_CASE_METHOD(two_upstream_fixture, "if all upstreams are suspected, the one that failed first is used")
{
    fail(second);
    now += 1ms;
    fail(first);
    const auto choice = choose(riga_router, query()).value();
    CHECK(choice.upstream == second);
    CHECK(noted(choice, route_reason::all_suspected));
}

TEST_CASE_METHOD(two_upstream_fixture, "overload and cancelled requests do not count as failures")
{
    fail(first, attempt_failure::overloaded);
    fail(first, attempt_failure::cancelled);
    CHECK(times_chosen(first, 50) > 0);
}

TEST_CASE_METHOD(two_upstream_fixture, "a retry avoids the upstreams already tried if there are others")
{
    auto again = query();
    again.tried = {first};
    CHECK(choose(riga_router, again).value().upstream == second);
    again.tried = {first, second};
    CHECK(choose(riga_router, again).has_value());
}

TEST_CASE_METHOD(two_upstream_fixture, "a newly listed upstream gets few requests at first")
{
    const auto cold = add("r3", riga, 4);
    list.upstreams[first].slots = 4;
    publish(riga_router);
    load_with(riga_router, 6);
    CHECK(riga_router.in_flight(cold) >= 1);
    CHECK(riga_router.in_flight(cold) < riga_router.in_flight(first));
    now += 20s;
    load_with(riga_router, 6);
    CHECK(riga_router.in_flight(cold) == 4);
}

TEST_CASE_METHOD(two_upstream_fixture, "an upstream that is listed again goes through slow start")
{
    auto repeated = query(4'000);
    repeated.prefix_digest = prefix_digest_of("annex");
    repeated.prefix_tokens = 3'500;
    const auto warm = choose(riga_router, repeated).value();
    riga_router.started(warm, repeated, now);
    const auto listed = list.upstreams[warm.upstream];
    list.upstreams.erase(warm.upstream);
    publish(riga_router);
    list.upstreams[warm.upstream] = listed;
    publish(riga_router);
    repeated.tried = {warm.upstream == first ? second : first};
    const auto again = choose(riga_router, repeated).value();
    REQUIRE(again.upstream == warm.upstream);
    CHECK(noted(again, route_reason::slow_start));
}
