#include "cardamomstream/request/placing/link_monitor.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("a VM tells the loss of its links from the trouble of upstreams")
{
    const time_point now{1'000s};
    link_monitor links;
    const auto fails = [&](const char* upstream, std::chrono::milliseconds after) {
        links.record_failure(upstream_name(upstream), now + after);
    };

    SECTION("one upstream that fails again and again is no reason to try others")
    {
        fails("a", 0ms);
        fails("a", 100ms);
        CHECK_FALSE(links.round_due(now + 100ms));
    }
    SECTION("two are")
    {
        fails("a", 0ms);
        fails("b", 100ms);
        REQUIRE(links.round_due(now + 100ms));
        links.begin_round(now + 100ms);
        CHECK_FALSE(links.round_due(now + 150ms));

        SECTION("another one that is reached shows that the links are there")
        {
            CHECK_FALSE(links.end_round(3, 1, now + 400ms));
            CHECK_FALSE(links.lost());
        }
        SECTION("a single one that isn't shows nothing")
        {
            CHECK_FALSE(links.end_round(1, 0, now + 400ms));
        }
        SECTION("several of which none is reached show that they are lost")
        {
            CHECK(links.end_round(3, 0, now + 400ms));
            CHECK(links.lost());
            CHECK(links.round_due(now + 800ms));
            SECTION("until one is reached again")
            {
                CHECK_FALSE(links.end_round(3, 0, now + 900ms));
                CHECK(links.end_round(3, 1, now + 1'300ms));
                CHECK_FALSE(links.lost());
                CHECK_FALSE(links.round_due(now + 1'700ms));
            }
            SECTION("links that flap must be there for longer")
            {
                REQUIRE(links.end_round(3, 3, now + 900ms));
                REQUIRE(links.end_round(3, 0, now + 2s));
                CHECK_FALSE(links.end_round(3, 3, now + 3s));
                CHECK(links.end_round(3, 3, now + 4s));
            }
        }
    }
    SECTION("not two of which one has answered on a new connection since")
    {
        fails("a", 0ms);
        links.record_contact(upstream_name("a"));
        fails("b", 100ms);
        CHECK_FALSE(links.round_due(now + 100ms));
    }
    SECTION("nor two that failed long after each other")
    {
        fails("a", 0ms);
        fails("b", 3s);
        CHECK_FALSE(links.round_due(now + 3s));
    }
}
