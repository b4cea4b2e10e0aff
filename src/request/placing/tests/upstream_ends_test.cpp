#include "cardamomstream/request/placing/upstream_ends.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("an upstream whose process has ended may be cold before its entry says so")
{
    const upstream_name upstream("a");
    constexpr auto cold_time = 3'000ms;
    const time_point now{1'000s};
    upstream_ends ends;
    const auto answers = [&](time_point connected_at, time_point sent_at, time_point at) {
        ends.record_answer(upstream, {connected_at, sent_at, at});
    };
    const auto may_be_cold = [&](std::chrono::milliseconds after) {
        return ends.may_have_restarted(upstream, cold_time, now + after);
    };
    CHECK_FALSE(may_be_cold(0ms));
    CHECK(ends.record_end(upstream, 1, now, 0ms));
    CHECK(may_be_cold(0ms));

    SECTION("for as long as it is down")
    {
        CHECK(may_be_cold(20s));
    }
    SECTION("and for its cold time from its first answer on")
    {
        answers(now + 4s, now + 4s, now + 4'050ms);
        answers(now + 4s, now + 5s, now + 6s);
        CHECK(may_be_cold(7s));
        CHECK_FALSE(may_be_cold(8s));
        SECTION("anew when it ends once more")
        {
            (void)ends.record_end(upstream, 1, now + 8s, 0ms);
            CHECK(may_be_cold(15s));
        }
    }
    SECTION("until its new process is listed")
    {
        ends.on_listed(upstream, 2);
        CHECK_FALSE(may_be_cold(100ms));
        CHECK(ends.own_ends(now + 100ms).empty());
        SECTION("which has got what was sent since")
        {
            CHECK(ends.was_sent_to_successor(upstream, now + 50ms, 1, 2));
            CHECK_FALSE(ends.was_sent_to_successor(upstream, now - 50ms, 1, 2));
        }
        SECTION("not the one after that, nor what was sent to the second one")
        {
            CHECK_FALSE(ends.was_sent_to_successor(upstream, now + 50ms, 1, 3));
            CHECK_FALSE(ends.was_sent_to_successor(upstream, now + 1s, 2, 3));
        }
    }
    SECTION("not while the entry of the old one is listed again")
    {
        ends.on_listed(upstream, 1);
        CHECK(may_be_cold(100ms));
    }
    SECTION("unless an older connection goes on working")
    {
        answers(now - 5s, now + 100ms, now + 200ms);
        CHECK_FALSE(may_be_cold(200ms));
        SECTION("although other VMs still report the sign")
        {
            ends.record_reported(upstream, 1, now + 20ms);
            CHECK_FALSE(may_be_cold(300ms));
        }
        SECTION("but a later sign counts")
        {
            ends.record_reported(upstream, 1, now + 2s);
            CHECK(may_be_cold(2s));
        }
    }
    SECTION("bytes that were under way show nothing")
    {
        answers(now - 5s, now - 1s, now + 20ms);
        CHECK(may_be_cold(30ms));
        SECTION("nor those that a slow caller has kept waiting")
        {
            answers(now - 5s, now - 1s, now + 400ms);
            CHECK(may_be_cold(500ms));
        }
    }
    SECTION("a later sign doesn't make connections of the new process older than its start")
    {
        answers(now + 400ms, now + 400ms, now + 450ms);
        (void)ends.record_end(upstream, 1, now + 1'200ms, 0ms);
        answers(now + 400ms, now + 1'250ms, now + 1'300ms);
        CHECK(may_be_cold(2s));
    }
    SECTION("a connection that may be as young as the end shows nothing")
    {
        ends.record_reported(upstream, 1, now + 10ms);
        answers(now - 100ms, now + 100ms, now + 200ms);
        CHECK(may_be_cold(300ms));
    }
}

TEST_CASE("a VM tells the others of ends of upstreams that it has seen itself")
{
    const upstream_name upstream("a");
    const time_point now{1'000s};
    upstream_ends ends;

    SECTION("with the age of the sign, and only the first of several at once is urgent")
    {
        CHECK(ends.record_end(upstream, 7, now, 0ms));
        CHECK_FALSE(ends.record_end(upstream, 7, now + 100ms, 0ms));
        const auto reported = ends.own_ends(now + 300ms);
        REQUIRE(reported.size() == 1);
        CHECK(reported[0].started_unix_ms == 7);
        CHECK(reported[0].age == 200ms);
    }
    SECTION("until it has answered for long")
    {
        (void)ends.record_end(upstream, 7, now, 0ms);
        CHECK(ends.own_ends(now + 20s).size() == 1);
        ends.record_answer(upstream, {now + 20s, now + 20s, now + 21s});
        CHECK(ends.own_ends(now + 40s).empty());
    }
    SECTION("not those that it knows from reports, which would go round for ever")
    {
        ends.record_reported(upstream, 7, now);
        CHECK(ends.may_have_restarted(upstream, 1s, now));
        CHECK(ends.own_ends(now).empty());
    }
}
