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
        CHECK(registry.retain_evacuations({riga_a}, start + 4s).empty());
        CHECK(usable(start + 4s) == 0);
        CHECK(registry.retain_evacuations({}, start + 5s) == std::vector{riga_a});
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
