#include "cardamomstream/process/deployment/recent_changes.h"

#include "cardamomstream/process/deployment/change_lag.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t era = 1;

/// One change, after the one of revision `after`.
store_changes change(std::uint64_t after, std::uint64_t revision, const std::string& key = "servers/a")
{
    return {store_part::upstreams, {era, after}, {era, revision}, false, {{key, "v", revision, false}}};
}

std::vector<std::uint64_t> revisions(const store_changes& changes)
{
    std::vector<std::uint64_t> all;
    for (const auto& item : changes.items) {
        all.push_back(item.revision);
    }
    return all;
}

} // namespace

// A VM on a full link lost one datagram and didn't know for five seconds that an upstream left.
TEST_CASE("a VM has missed a change of the store that another one told")
{
    const time_point start{1h};
    recent_changes recent;
    recent.add(change(10, 12), start);
    recent.add(change(12, 15), start + 100ms);
    const auto latest = change(15, 20);
    change_lag behind;
    behind.record_known({era, 11});

    SECTION("the next telling repeats it")
    {
        auto told = recent.repeated(latest, start + 200ms);
        CHECK(revisions(told) == std::vector<std::uint64_t>{12, 15, 20});
        REQUIRE(behind.accept_changes(told));
        CHECK(behind.known() == store_position{era, 20});

        SECTION("who has missed nothing passes over what it knows")
        {
            change_lag current;
            current.record_known({era, 15});
            auto again = recent.repeated(latest, start + 200ms);
            REQUIRE(current.accept_changes(again));
            CHECK(revisions(again) == std::vector<std::uint64_t>{20});
            // What it repeats itself must not claim to begin before the changes that it has passed over.
            CHECK(again.after == store_position{era, 15});
        }
    }
    SECTION("not for ever")
    {
        CHECK(revisions(recent.repeated(latest, start + 3'150ms)) == std::vector<std::uint64_t>{20});
    }
    SECTION("nothing is told across a gap, or an older era")
    {
        CHECK(revisions(recent.repeated(change(30, 31), start + 200ms)) == std::vector<std::uint64_t>{31});
        auto restored = change(15, 20);
        restored.after.era = restored.up_to.era = era + 1;
        CHECK(revisions(recent.repeated(restored, start + 200ms)) == std::vector<std::uint64_t>{20});
    }
    SECTION("large changes aren't repeated")
    {
        auto large = change(20, 25);
        large.items[0].value.assign(recent_changes::max_bytes, 'x');
        recent.add(large, start + 250ms);
        CHECK(revisions(recent.repeated(change(25, 26), start + 300ms)) == std::vector<std::uint64_t>{26});
    }
}

// While the store dropped its history, each VM asked for a listing of its own, seconds later.
TEST_CASE("a reader lists the store anew: the others are told what has changed since")
{
    listed_keys keys;
    store_batch before;
    before.position = {era, 10};
    before.items = {{"servers/a", "v", 4, false}, {"servers/b", "v", 9, false}};
    (void)keys.replace(store_part::upstreams, before, {}, {});
    keys.apply(change(9, 12, "servers/c"));

    store_batch listing;
    listing.position = {era, 20};
    listing.items = {{"servers/a", "v2", 15, false}, {"servers/c", "v", 12, false}};
    const auto changes = keys.replace(store_part::upstreams, listing, {era, 12}, {era, 12});

    CHECK(changes.after == store_position{era, 12});
    CHECK(changes.up_to == store_position{era, 20});
    REQUIRE(changes.items.size() == 2);
    CHECK(changes.items[0].key == "servers/a");
    CHECK(changes.items[0].revision == 15);
    CHECK(changes.items[1].key == "servers/b");
    CHECK(changes.items[1].removed);

    SECTION("nothing, if nothing has: later changes then follow on the last one, not on the listing")
    {
        listing.position = {era, 22};
        CHECK(keys.replace(store_part::upstreams, listing, {era, 20}, {era, 20}).items.empty());
    }
}

// Removals found by a listing have one revision: a VM that got the first datagram of several took them for
// known.
TEST_CASE("changes too large for one datagram are told in several")
{
    store_changes changes{store_part::upstreams, {era, 10}, {era, 30}, false, {}};
    changes.items = {
        {"a", "0123456789", 20, false}, {"b", "", 30, true}, {"c", "", 30, true}, {"d", "", 30, true}};
    const auto parts = split_changes(changes, 12);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].items.size() == 2);
    CHECK(parts[0].after == store_position{era, 10});
    CHECK(parts[1].after == parts[0].up_to);
    CHECK(parts[1].up_to == store_position{era, 30});

    change_lag lag;
    lag.record_known({era, 15});
    auto first = parts[0];
    REQUIRE(lag.accept_changes(first));
    CHECK(revisions(first) == std::vector<std::uint64_t>{20, 30});
    SECTION("the rest is still news")
    {
        auto second = parts[1];
        REQUIRE(lag.accept_changes(second));
        CHECK(revisions(second) == std::vector<std::uint64_t>{30, 30});
        CHECK(lag.known() == store_position{era, 30});
    }
    SECTION("if it is lost, this VM knows that it misses something")
    {
        CHECK(lag.known() < store_position{era, 30});
    }
    SECTION("an item of a page that is newer than the listing says nothing of what lies between")
    {
        changes.items = {{"a", "0123456789", 35, false}, {"b", "0123456789", 36, false}};
        CHECK(split_changes(changes, 12).front().up_to == store_position{era, 30});
    }
    SECTION("one that is larger than a datagram isn't told")
    {
        CHECK(split_changes(changes, 10).empty());
    }
}
