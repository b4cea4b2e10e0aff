#include "cardamomstream/process/deployment/change_lag.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("the other VMs know of a change that the own watch has not brought")
{
    const time_point start{1'000s};
    change_lag lag;
    lag.record_known(10);
    REQUIRE_FALSE(lag.record_peer_revision(10, start));
    REQUIRE_FALSE(lag.record_peer_revision(12, start));

    SECTION("it comes a moment later: the watch goes on")
    {
        lag.record_known(12);
        CHECK_FALSE(lag.record_peer_revision(12, start + 1s));
        CHECK(lag.known() == 12);
    }
    SECTION("it does not come: the store is asked anew, once")
    {
        CHECK_FALSE(lag.record_peer_revision(12, start + 300ms));
        CHECK(lag.record_peer_revision(12, start + 950ms));
        CHECK_FALSE(lag.record_peer_revision(13, start + 1'100ms));
        SECTION("and again when that was of no use, as on a slow store")
        {
            CHECK(lag.record_peer_revision(13, start + 4s));
        }
        SECTION("a later change has its own time to arrive")
        {
            lag.record_known(13);
            CHECK_FALSE(lag.record_peer_revision(14, start + 4s));
            CHECK(lag.record_peer_revision(14, start + 5s));
        }
    }
}

TEST_CASE("another VM tells what it has read of the store")
{
    change_lag lag;
    lag.record_known(10);
    store_changes told{store_part::upstreams, 10, 30, false, {{"a", "1", 12, false}, {"b", "2", 15, false}}};

    SECTION("it follows what is known here: all of it is taken")
    {
        REQUIRE(lag.accept_changes(told));
        CHECK(told.items.size() == 2);
        CHECK(lag.known() == 15);
    }
    SECTION("a part is known from elsewhere: an older value does not come back")
    {
        lag.record_known(12);
        REQUIRE(lag.accept_changes(told));
        REQUIRE(told.items.size() == 1);
        CHECK(told.items[0].key == "b");
        SECTION("nor does a datagram that arrives twice say anything")
        {
            REQUIRE(lag.accept_changes(told));
            CHECK(told.items.empty());
        }
    }
    SECTION("a change before it was missed: the store has to be asked")
    {
        told.after = 11;
        CHECK_FALSE(lag.accept_changes(told));
        CHECK(lag.known() == 10);
        CHECK_FALSE(lag.record_peer_revision(15, time_point{1'000s}));
        CHECK(lag.record_peer_revision(15, time_point{1'001s}));
    }
}
