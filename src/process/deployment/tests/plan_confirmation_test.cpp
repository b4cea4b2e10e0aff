#include "cardamomstream/process/deployment/plan_confirmation.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

// A VM that was cut off from the store and the other regions served by the homes of its last plan without
// end.
TEST_CASE("a plan counts as confirmed by the store, or by all other data centres together")
{
    const time_point start{1'000s};
    const region_name riga("riga");
    const region_name latgale("latgale");
    const data_centre_name riga_a("riga-a");
    const data_centre_name riga_b("riga-b");
    const data_centre_name latgale_a("latgale-a");

    SECTION("a deployment of one region: nobody else can have a newer plan")
    {
        plan_confirmation plan({});
        plan.record_store_answer(start);
        CHECK(plan.confirmed_at(start + 1min) == start + 1min);
    }
    SECTION("before every other region has reported, only the store confirms it")
    {
        plan_confirmation plan({riga, latgale});
        plan.record_data_centre(latgale_a, latgale, start + 1s);
        CHECK(plan.confirmed_at(start + 1s) == time_point{});
        plan.record_store_answer(start);
        CHECK(plan.confirmed_at(start + 1min) == start);
    }
    SECTION("all have reported")
    {
        plan_confirmation plan({riga, latgale});
        plan.record_store_answer(start);
        plan.record_data_centre(riga_a, riga, start);
        plan.record_data_centre(riga_b, riga, start);
        plan.record_data_centre(latgale_a, latgale, start);

        SECTION("the store alone is away: they confirm it")
        {
            plan.record_data_centre(riga_a, riga, start + 10s);
            plan.record_data_centre(riga_b, riga, start + 9s);
            plan.record_data_centre(latgale_a, latgale, start + 10s);
            CHECK(plan.confirmed_at(start + 10s) == start + 9s);
            SECTION("an older report that arrives later takes nothing back")
            {
                plan.record_data_centre(riga_b, riga, start + 8s);
                CHECK(plan.confirmed_at(start + 10s) == start + 9s);
            }
        }
        SECTION("cut off from everything: the last confirmation stands")
        {
            CHECK(plan.confirmed_at(start + 1min) == start);
        }
        SECTION("cut off from the store and from one data centre, which may have a newer plan")
        {
            plan.record_data_centre(riga_b, riga, start + 10s);
            plan.record_data_centre(latgale_a, latgale, start + 10s);
            CHECK(plan.confirmed_at(start + 10s) == start);
            SECTION("that has left is not waited for")
            {
                plan.forget_data_centre(riga_a);
                CHECK(plan.confirmed_at(start + 10s) == start + 10s);
            }
        }
        SECTION("one data centre is lost while the store answers")
        {
            plan.record_store_answer(start + 10s);
            CHECK(plan.confirmed_at(start + 11s) == start + 10s);
            SECTION("an older answer that is reported later takes nothing back")
            {
                plan.record_store_answer(start + 3s);
                CHECK(plan.confirmed_at(start + 11s) == start + 10s);
            }
        }
    }
}

// A VM that knew less than another one confirmed its plan.
TEST_CASE("a report confirms a plan only as far as its sender knows")
{
    const time_point start{1'000s};
    const region_name riga("riga");
    constexpr version_number plan_here = 4;
    const store_position known{1, 40};
    plan_confirmation plan({riga});
    plan.record_store_answer(start);
    vm_report report;
    report.region = riga;
    report.data_centre = data_centre_name("riga-a");
    report.plan_version = plan_here;
    report.known_changes = {known, known};
    report.summary.emplace();
    report.summary->members.resize(2);
    report.summary->members.back().ready = true;
    const auto confirmed_by_report = [&] {
        plan.record_report(report, plan_here, known, start + 10s);
        return plan.confirmed_at(start + 10s);
    };

    SECTION("a summary with the same plan confirms it")
    {
        CHECK(confirmed_by_report() == start + 10s);
        SECTION("until all VMs of the data centre leave")
        {
            report.summary->members.back().ready = false;
            plan.record_report(report, plan_here, known, start + 11s);
            CHECK(plan.confirmed_at(start + 11s) == start);
        }
    }
    SECTION("with an older plan, or none, it doesn't")
    {
        report.plan_version = GENERATE(version_number{0}, plan_here - 1);
        CHECK(confirmed_by_report() == start);
    }
    SECTION("nor while this VM has no plan")
    {
        report.plan_version = 0;
        plan.record_report(report, 0, known, start + 10s);
        CHECK(plan.confirmed_at(start + 10s) == start);
    }
    SECTION("nor when it knows of a change that this VM misses, or of a newer era")
    {
        report.known_changes.front() = GENERATE(store_position{1, 41}, store_position{2, 1});
        report.store_answer_age = 0ms;
        CHECK(confirmed_by_report() == start);
    }
    SECTION("nor when it doesn't say what it knows, as the answer to a query for members")
    {
        report.known_changes.clear();
        report.store_answer_age = 0ms;
        CHECK(confirmed_by_report() == start);
    }
    SECTION("one of a single VM confirms it only by the store's answer to that VM")
    {
        report.summary.reset();
        CHECK(confirmed_by_report() == start);
        report.store_answer_age = 3s;
        CHECK(confirmed_by_report() == start + 7s);
    }
}
