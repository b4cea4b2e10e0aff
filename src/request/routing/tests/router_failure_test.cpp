#include "fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

struct failing_fleet : fleet_fixture {
    router here{riga, {}};
    upstream_name first = add("r1", riga);
    upstream_name second = add("r2", riga);

    failing_fleet() { publish(here); }

    void fail(const upstream_name& upstream, attempt_failure failure = attempt_failure::connect)
    {
        route_choice choice;
        choice.upstream = upstream;
        here.failed(here.started(choice, query(), now), failure, now, random);
    }

    upstream_name next() { return choose(here, query()).value().upstream; }

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

TEST_CASE_METHOD(failing_fleet, "a leaving or unlisted upstream gets nothing new at once")
{
    SECTION("leaving")
    {
        list.upstreams[first].state = listed_state::leaving;
        publish(here);
        CHECK(times_chosen(first, 20) == 0);
    }
    SECTION("unlisted while a request of ours still runs there")
    {
        route_choice choice;
        choice.upstream = first;
        const auto running = here.started(choice, query(), now);
        choice.upstream = second;
        for (int i = 0; i < 3; ++i) {
            here.started(choice, query(), now);
        }
        REQUIRE(next() == first);
        list.upstreams.erase(first);
        publish(here);
        CHECK(times_chosen(first, 20) == 0);
        here.finished(running, now);
        CHECK(here.in_flight(first) == 0);
    }
}

TEST_CASE_METHOD(failing_fleet, "a failed upstream is probed by one request")
{
    fail(first);
    CHECK(times_chosen(first, 20) == 0);
    now += 600ms;
    const auto probe = choose(here, query()).value();
    CHECK(probe.probe);
    CHECK(probe.upstream == first);
    auto attempt = here.started(probe, query(), now);
    CHECK(times_chosen(first, 20) == 0);

    SECTION("its answer brings the upstream back")
    {
        here.first_byte(attempt, now);
        here.finished(attempt, now);
        CHECK(times_chosen(first, 50) > 0);
    }
    SECTION("its failure doubles the backoff")
    {
        here.failed(attempt, attempt_failure::timeout, now, random);
        now += 499ms;
        CHECK(times_chosen(first, 20) == 0);
        now += 502ms;
        CHECK(next() == first);
    }
    SECTION("a caller that leaves frees the probe for the next request")
    {
        here.failed(attempt, attempt_failure::cancelled, now, random);
        CHECK(choose(here, query()).value().probe);
    }
}

TEST_CASE_METHOD(failing_fleet, "a call that may not be repeated does not probe")
{
    fail(first);
    now += 600ms;
    auto guarded = query();
    guarded.may_probe = false;
    CHECK(choose(here, guarded).value().upstream == second);
}

TEST_CASE_METHOD(failing_fleet, "upstreams are never all excluded")
{
    fail(second);
    now += 1ms;
    fail(first);
    const auto choice = choose(here, query()).value();
    CHECK(choice.upstream == second);
    CHECK(noted(choice, route_reason::all_suspected));
}

TEST_CASE_METHOD(failing_fleet, "load and callers that leave are no faults")
{
    fail(first, attempt_failure::overloaded);
    fail(first, attempt_failure::cancelled);
    CHECK(times_chosen(first, 50) > 0);
}

TEST_CASE_METHOD(failing_fleet, "a retry avoids what was tried while others exist")
{
    auto again = query();
    again.tried = {first};
    CHECK(choose(here, again).value().upstream == second);
    again.tried = {first, second};
    CHECK(choose(here, again).has_value());
}

TEST_CASE_METHOD(failing_fleet, "a newly listed upstream is used at once but not filled at once")
{
    const auto cold = add("r3", riga, 4);
    list.upstreams[first].slots = 4;
    publish(here);
    load_with(here, 6);
    CHECK(here.in_flight(cold) >= 1);
    CHECK(here.in_flight(cold) < here.in_flight(first));
    now += 20s;
    load_with(here, 6);
    CHECK(here.in_flight(cold) == 4);
}

TEST_CASE_METHOD(failing_fleet, "an upstream that comes back is taken as cold")
{
    auto repeated = query(4'000);
    repeated.prefix_digest = prefix_digest_of("annex");
    repeated.prefix_tokens = 3'500;
    const auto warm = choose(here, repeated).value();
    here.started(warm, repeated, now);
    const auto listed = list.upstreams[warm.upstream];
    list.upstreams.erase(warm.upstream);
    publish(here);
    list.upstreams[warm.upstream] = listed;
    publish(here);
    repeated.tried = {warm.upstream == first ? second : first};
    const auto again = choose(here, repeated).value();
    REQUIRE(again.upstream == warm.upstream);
    CHECK(noted(again, route_reason::slow_start));
}
