#include "cardamomstream/process/deployment/upstream_registry.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

upstream_record record_of(const std::string& id)
{
    upstream_record record;
    record.id = upstream_name(id);
    record.service = pool_name("drafts");
    record.data_centre = data_centre_name("riga-a");
    record.started_unix_ms = 1;
    return record;
}

service_plan plan_with_cold_time()
{
    plan_service service;
    service.name = pool_name("drafts");
    service.cold_time = 3s;
    service_plan_document document;
    document.services = {service};
    return service_plan(document);
}

} // namespace

TEST_CASE("the list of upstreams changes")
{
    const time_point start{1'000s};
    upstream_registry registry({{data_centre_name("riga-a"), region_name("riga")}});
    const auto plan = plan_with_cold_time();
    const auto usable = [&](time_point now) { return registry.usable(&plan, now).size(); };
    registry.apply(record_of("a"), true, start);
    REQUIRE(usable(start) == 1);

    SECTION("an upstream of the first list is not treated as cold; a later one is")
    {
        registry.apply(record_of("b"), false, start);
        const auto views = registry.usable(&plan, start);
        CHECK(views[0].cold_until <= start);
        CHECK(views[1].cold_until > start + 3s);
    }
    SECTION("one that restarted under the same id is cold")
    {
        auto again = record_of("a");
        again.started_unix_ms = 2;
        registry.apply(again, false, start);
        CHECK(registry.usable(&plan, start)[0].cold_until > start + 3s);
    }
    SECTION("one that is leaving stops getting requests at once")
    {
        auto leaving = record_of("a");
        leaving.leaving = true;
        registry.apply(leaving, false, start);
        CHECK(usable(start) == 0);
    }
    SECTION("an entry that is removed while the list is available is dropped at once")
    {
        registry.remove(upstream_name("a"), false, start);
        CHECK(usable(start) == 0);
    }
    SECTION("an entry that expired in an outage")
    {
        registry.remove(upstream_name("a"), true, start);
        CHECK(usable(start + 1s) == 1);
        SECTION("is dropped when it is not back in time")
        {
            CHECK(registry.expire(start + 3s));
            CHECK(usable(start + 3s) == 0);
        }
        SECTION("stays when it is written again")
        {
            registry.apply(record_of("a"), false, start + 1s);
            CHECK_FALSE(registry.expire(start + 10s));
            CHECK(usable(start + 10s) == 1);
        }
    }
    SECTION("one that was leaving when it expired is dropped at once")
    {
        auto leaving = record_of("a");
        leaving.leaving = true;
        registry.apply(leaving, false, start);
        registry.remove(upstream_name("a"), true, start);
        CHECK(registry.size() == 0);
    }
    SECTION("its data centre is evacuated: it is unusable, and cold when that ends")
    {
        const data_centre_name riga_a("riga-a");
        CHECK(registry.evacuate(riga_a, start));
        CHECK_FALSE(registry.evacuate(riga_a, start + 1s)); // listed again
        CHECK(registry.evacuated() == evacuations{{riga_a, start}});
        CHECK(usable(start) == 0);
        CHECK(registry.retain_evacuations({riga_a}, false, start + 4s).empty());
        CHECK(usable(start + 4s) == 0);
        CHECK(registry.retain_evacuations({}, false, start + 5s) == std::vector{riga_a});
        CHECK_FALSE(registry.end_evacuation(riga_a, start + 6s));
        CHECK(registry.evacuated().empty());
        REQUIRE(usable(start + 5s) == 1);
        CHECK(registry.usable(&plan, start + 5s)[0].cold_until > start + 8s);
    }
    SECTION("a complete list without it removes it")
    {
        registry.retain_listed({}, false, start);
        CHECK(usable(start) == 0);
    }
}

// An odd rewrite of one entry costs its upstream its place, or makes it start cold when it is written again.
TEST_CASE("an entry that can't be read keeps its upstream from requests until it can be read again")
{
    const time_point start{1'000s};
    upstream_registry registry({{data_centre_name("riga-a"), region_name("riga")}});
    const auto plan = plan_with_cold_time();
    const auto usable = [&](time_point now) { return registry.usable(&plan, now).size(); };
    registry.apply(record_of("a"), true, start);
    registry.apply(record_of("b"), true, start);
    REQUIRE(usable(start) == 2);
    const upstream_name odd("a");
    CHECK(registry.refuse(odd, start));

    SECTION("the others hold")
    {
        const auto views = registry.usable(&plan, start);
        REQUIRE(views.size() == 1);
        CHECK(views[0].record.id == upstream_name("b"));
    }
    SECTION("written again by the same process, it isn't taken for one that has just started")
    {
        registry.apply(record_of("a"), false, start + 1s);
        REQUIRE(usable(start + 1s) == 2);
        CHECK(registry.usable(&plan, start + 1s)[0].cold_until <= start);
    }
    SECTION("written again by a process that has started meanwhile, it is cold")
    {
        auto again = record_of("a");
        again.started_unix_ms = 2;
        registry.apply(again, false, start + 1s);
        CHECK(registry.usable(&plan, start + 1s)[0].cold_until > start + 4s);
    }
    SECTION("a listing that still has it keeps what is known; one without it removes it")
    {
        registry.retain_listed({odd, upstream_name("b")}, false, start);
        CHECK(registry.size() == 2);
        CHECK(usable(start) == 1);
        registry.retain_listed({upstream_name("b")}, false, start);
        CHECK(registry.size() == 1);
    }
    SECTION("removed while the store was away, then odd: it isn't used when the grace time is over")
    {
        registry.remove(odd, true, start);
        CHECK_FALSE(registry.refuse(odd, start + 1s));
        CHECK_FALSE(registry.expire(start + 10s));
        CHECK(usable(start + 10s) == 1);
    }
    SECTION("it is logged once a minute, however often it is written, and so is one that was never known")
    {
        for (int written = 0; written < 100; ++written) {
            CHECK_FALSE(registry.refuse(odd, start + 1s));
        }
        CHECK(registry.refuse(odd, start + 60s));
        CHECK(registry.refuse(upstream_name("never known"), start));
        CHECK_FALSE(registry.refuse(upstream_name("never known"), start + 1s));
        CHECK(registry.size() == 2);
    }
    SECTION("entries under ever new names don't grow the memory without bound, nor the log")
    {
        int logged = 0;
        for (int number = 0; number < 5'000; ++number) {
            logged += registry.refuse(upstream_name("odd-" + std::to_string(number)), start) ? 1 : 0;
        }
        CHECK(logged < 1'000);
        CHECK(registry.size() == 2);
    }
}

// What had been withdrawn was in use again on the word of the copy.
TEST_CASE("the store comes back from an older copy")
{
    const time_point start{1'000s};
    const data_centre_name riga_a("riga-a");
    upstream_registry registry({{riga_a, region_name("riga")}});
    const auto plan = plan_with_cold_time();
    const auto usable = [&](time_point now) { return registry.usable(&plan, now).size(); };
    registry.apply(record_of("a"), true, start);
    registry.apply(record_of("b"), true, start);
    auto leaving = record_of("b");
    leaving.leaving = true;

    SECTION("an upstream that was leaving isn't used again")
    {
        registry.apply(leaving, false, start);
        CHECK_FALSE(registry.apply_restored(record_of("b"), start + 1s));
        CHECK(usable(start + 1s) == 1);
        SECTION("unless it has started again")
        {
            auto again = record_of("b");
            again.started_unix_ms = 2;
            CHECK(registry.apply_restored(again, start + 1s));
            CHECK(usable(start + 1s) == 2);
        }
    }
    SECTION("an upstream that had left isn't used again")
    {
        registry.remove(upstream_name("b"), false, start);
        CHECK_FALSE(registry.apply_restored(record_of("b"), start + 1s));
        CHECK_FALSE(registry.expire(start + 2s));
        CHECK(usable(start + 2s) == 1);
        SECTION("until its entry is written anew")
        {
            registry.apply(record_of("b"), false, start + 2s);
            CHECK(usable(start + 2s) == 2);
        }
        SECTION("nor later, once its entry has expired")
        {
            registry.remove(upstream_name("b"), false, start + 3s);
            CHECK_FALSE(registry.expire(start + 10s));
            CHECK(usable(start + 10s) == 1);
        }
        SECTION("nor when a later listing lacks it")
        {
            registry.retain_listed({upstream_name("a")}, false, start + 3s);
            CHECK_FALSE(registry.expire(start + 10s));
            CHECK(usable(start + 10s) == 1);
        }
        SECTION("an entry that stays for longer than that of an upstream that has ended is used")
        {
            CHECK(registry.expire(start + 8s));
            CHECK(usable(start + 8s) == 2);
        }
    }
    SECTION("an upstream that registered after the copy was made isn't dropped at once")
    {
        registry.retain_listed({upstream_name("a")}, true, start + 1s);
        CHECK(usable(start + 2s) == 2);
        CHECK(registry.expire(start + 4s));
        CHECK(usable(start + 4s) == 1);
    }
    SECTION("an evacuation that began after the copy was made doesn't end at once")
    {
        REQUIRE(registry.evacuate(riga_a, start));
        CHECK(registry.retain_evacuations({}, true, start + 1s).empty());
        CHECK(registry.expire_evacuations(start + 2s).empty());
        CHECK(usable(start + 2s) == 0);
        SECTION("it goes on when it is written again")
        {
            registry.evacuate(riga_a, start + 2s);
            CHECK(registry.expire_evacuations(start + 10s).empty());
            CHECK(usable(start + 10s) == 0);
        }
        SECTION("it ends when it isn't")
        {
            CHECK(registry.expire_evacuations(start + 4s) == std::vector{riga_a});
            CHECK(usable(start + 4s) == 2);
        }
    }
}
