#include "cardamomstream/process/deployment/plan_confirmation.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

// A VM that was cut off from the store and the other regions served by the homes of its last plan without
// end.
TEST_CASE("a plan counts as confirmed by the store, or by all other regions together")
{
    const time_point start{1'000s};
    const region_name riga("riga");
    const region_name latgale("latgale");
    plan_confirmation plan;

    SECTION("a deployment of one region: nobody else can have a newer plan")
    {
        plan.record_store_answer(start);
        CHECK(plan.confirmed_at(start + 1min) == start + 1min);
    }
    SECTION("with other regions")
    {
        plan.record_store_answer(start);
        plan.record_region(riga, start);
        plan.record_region(latgale, start);

        SECTION("the store alone is away: they confirm it")
        {
            plan.record_region(riga, start + 10s);
            plan.record_region(latgale, start + 9s);
            CHECK(plan.confirmed_at(start + 10s) == start + 9s);
        }
        SECTION("cut off from everything: the last confirmation stands")
        {
            CHECK(plan.confirmed_at(start + 1min) == start);
        }
        SECTION("cut off from the store and from one region, which may have a newer plan")
        {
            plan.record_region(latgale, start + 10s);
            CHECK(plan.confirmed_at(start + 10s) == start);
        }
        SECTION("one region is lost while the store answers")
        {
            plan.record_region(latgale, start + 10s);
            plan.record_store_answer(start + 10s);
            CHECK(plan.confirmed_at(start + 11s) == start + 10s);
        }
        SECTION("an answer that is told late takes nothing back")
        {
            plan.record_store_answer(start + 5s);
            plan.record_store_answer(start + 3s);
            plan.record_region(riga, start - 3s);
            CHECK(plan.confirmed_at(start + 6s) == start + 5s);
        }
    }
}
