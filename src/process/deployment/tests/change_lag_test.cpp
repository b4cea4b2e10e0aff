#include "cardamomstream/process/deployment/change_lag.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("other VMs know of a change that the own watch has not delivered")
{
    const time_point start{1'000s};
    change_lag lag;
    lag.record_known({0, 10});
    REQUIRE_FALSE(lag.record_peer_change({0, 10}, start));
    REQUIRE_FALSE(lag.record_peer_change({0, 12}, start));

    SECTION("it arrives a moment later: the watch continues")
    {
        lag.record_known({0, 12});
        CHECK_FALSE(lag.record_peer_change({0, 12}, start + 1s));
        CHECK(lag.known() == store_position{0, 12});
    }
    SECTION("it does not arrive: the watch is restarted once")
    {
        CHECK_FALSE(lag.record_peer_change({0, 12}, start + 300ms));
        CHECK(lag.record_peer_change({0, 12}, start + 950ms));
        CHECK_FALSE(lag.record_peer_change({0, 13}, start + 1'100ms));
        SECTION("and again when that did not help, as with a slow store")
        {
            CHECK(lag.record_peer_change({0, 13}, start + 4s));
        }
        SECTION("a later change has its own time to arrive")
        {
            lag.record_known({0, 13});
            CHECK_FALSE(lag.record_peer_change({0, 14}, start + 4s));
            CHECK(lag.record_peer_change({0, 14}, start + 5s));
        }
    }
}

TEST_CASE("another VM reports what it has read from the store")
{
    change_lag lag;
    lag.record_known({0, 10});
    store_changes peer_changes{
        store_part::upstreams, {0, 10}, {0, 30}, false, {{"a", "1", 12, false}, {"b", "2", 15, false}}};

    SECTION("the changes follow those known here: all of them are accepted")
    {
        REQUIRE(lag.accept_changes(peer_changes));
        CHECK(peer_changes.items.size() == 2);
        CHECK(lag.known() == store_position{0, 30}); // no change lies between the last of them and this
    }
    SECTION("some are already known: an older value does not replace a newer one")
    {
        lag.record_known({0, 12});
        REQUIRE(lag.accept_changes(peer_changes));
        REQUIRE(peer_changes.items.size() == 1);
        CHECK(peer_changes.items[0].key == "b");
        SECTION("and a duplicate datagram has no effect")
        {
            REQUIRE(lag.accept_changes(peer_changes));
            CHECK(peer_changes.items.empty());
        }
    }
    SECTION("an earlier change is missing: the store has to be read")
    {
        peer_changes.after.revision = 11;
        CHECK_FALSE(lag.accept_changes(peer_changes));
        CHECK(lag.known() == store_position{0, 10});
        CHECK_FALSE(lag.record_peer_change({0, 15}, time_point{1'000s}));
        CHECK(lag.record_peer_change({0, 15}, time_point{1'001s}));
    }
}

// The store came back from an older copy, and what it held afterwards was taken for known.
TEST_CASE("revisions are given out again after the store was restored from a copy")
{
    const time_point start{1'000s};
    change_lag lag;
    lag.record_known({1, 40});
    lag.record_known({2, 35});
    CHECK(lag.known() == store_position{2, 35});
    store_changes read{store_part::upstreams, {2, 35}, {2, 36}, false, {{"a", "1", 36, false}}};

    SECTION("changes under a revision that was known before are accepted")
    {
        REQUIRE(lag.accept_changes(read));
        CHECK(read.items.size() == 1);
    }
    SECTION("a position of the older era changes nothing")
    {
        lag.record_known({1, 50});
        CHECK(lag.known() == store_position{2, 35});
        CHECK_FALSE(lag.record_peer_change({1, 50}, start));
        CHECK_FALSE(lag.record_peer_change({1, 50}, start + 5s));
        read.after.era = 1;
        read.up_to = {1, 50};
        CHECK_FALSE(lag.accept_changes(read));
    }
    SECTION("changes of a newer era can't be joined to what is known")
    {
        read.after = {3, 30};
        read.up_to = {3, 31};
        CHECK_FALSE(lag.accept_changes(read));
    }
}

TEST_CASE("a VM can tell since when it misses what others know")
{
    const time_point start{1h};
    change_lag lag;
    lag.record_known({1, 10});
    CHECK_FALSE(lag.behind_since());
    lag.record_peer_change({1, 12}, start);
    lag.record_peer_change({1, 14}, start + 1s);
    CHECK(lag.behind_since() == start);
    lag.record_known({1, 14});
    CHECK_FALSE(lag.behind_since());
    lag.record_peer_change({1, 15}, start + 5s);
    CHECK(lag.behind_since() == start + 5s);
}

// A VM that was always half a second late counted as late for as long as changes kept coming.
TEST_CASE("a VM that knows of a missed change by now misses only the later ones")
{
    const time_point start{1h};
    change_lag lag;
    lag.record_known({1, 10});
    lag.record_peer_change({1, 12}, start);
    lag.record_peer_change({1, 14}, start + 1s);
    lag.record_peer_change({1, 14}, start + 2s);
    lag.record_known({1, 12});
    CHECK(lag.behind_since() == start + 1s);
    lag.record_known({1, 14});
    CHECK_FALSE(lag.behind_since());
}
