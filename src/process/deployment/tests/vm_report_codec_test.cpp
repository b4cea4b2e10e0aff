#include "cardamomstream/process/deployment/vm_report_codec.h"

#include <limits>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

vm_report plain_report()
{
    vm_report report;
    report.vm = vm_name("vm-1");
    report.region = region_name("riga");
    report.data_centre = data_centre_name("riga-a");
    report.inner = {"127.0.0.1", 7020};
    report.loads = {{upstream_name("i-1"), 3, 200ms, 4'000, {7}}};
    report.uses = {{customer_name("c"), 12.5}};
    report.lateness = {{pool_name("s"), 1, -20ms, 4}};
    return report;
}

vm_report sent_and_received(const vm_report& report)
{
    const auto read = decode_report(encode_report(report));
    REQUIRE(read);
    return read.value();
}

} // namespace

// A number out of range in another VM's report overflows the sums in which it is counted.
TEST_CASE("a statement with a number out of range is left out of a report, the others are read")
{
    auto report = plain_report();
    const auto plain = sent_and_received(report);
    REQUIRE(plain.loads.size() == 1);
    REQUIRE(plain.uses.size() == 1);
    REQUIRE(plain.lateness.size() == 1);
    CHECK(plain.lateness[0].mean == -20ms);

    SECTION("loads")
    {
        report.loads.push_back({upstream_name("i-3"), 3, 200ms, std::numeric_limits<token_count>::max(), {}});
        report.loads.push_back({upstream_name("i-4"), 4'000'000'000, 200ms, 4'000, {}});
        const auto read = sent_and_received(report);
        REQUIRE(read.loads.size() == 1);
        CHECK(read.loads[0].upstream == upstream_name("i-1"));
        report.loads = {{upstream_name("i-2"), 3, std::chrono::milliseconds::max(), 4'000, {}}};
        CHECK(sent_and_received(report).loads.at(0).prefill_left == 24h);
    }
    SECTION("admissions")
    {
        report.uses.push_back({customer_name("d"), std::numeric_limits<double>::infinity()});
        report.uses.push_back({customer_name("e"), std::numeric_limits<double>::quiet_NaN()});
        report.uses.push_back({customer_name("f"), -1e308});
        CHECK(sent_and_received(report).uses.size() == 1);
    }
    SECTION("lateness")
    {
        report.lateness.push_back({pool_name("t"), 1, 1h, 4'000'000'000});
        CHECK(sent_and_received(report).lateness.size() == 1);
    }
}

TEST_CASE("a VM tells that it has lost its links to the upstreams")
{
    auto report = plain_report();
    CHECK_FALSE(sent_and_received(report).links_lost);
    report.links_lost = true;
    report.summary.emplace();
    report.summary->members = {{{"10.2.0.1", 7000}, {"10.2.0.2", 80}, true, true},
                               {{"10.2.0.3", 7000}, {"10.2.0.4", 80}, true, false}};
    const auto read = sent_and_received(report);
    CHECK(read.links_lost);
    REQUIRE(read.summary.has_value());
    CHECK(read.summary->members == report.summary->members);
}

TEST_CASE("ends of upstreams that a VM has seen reach the other VMs")
{
    auto report = plain_report();
    report.upstream_ends = {{upstream_name("i-1"), 1'700'000'000'000, 40ms},
                            {upstream_name("i-2"), 0, std::chrono::milliseconds::max()}};
    const auto read = sent_and_received(report);
    REQUIRE(read.upstream_ends.size() == 1); // an age beyond all bounds is left out
    CHECK(read.upstream_ends[0].upstream == upstream_name("i-1"));
    CHECK(read.upstream_ends[0].started_unix_ms == 1'700'000'000'000);
    CHECK(read.upstream_ends[0].age == 40ms);
}

TEST_CASE("a VM tells what its machine bears, and how long work takes at upstreams")
{
    auto report = plain_report();
    report.capacity = 1'095;
    report.ranks_readers_by_capacity = true;
    report.works = {{upstream_name("i-1"), 7, 250, 40ms}};
    report.summary.emplace();
    report.summary->members = {{{"10.2.0.1", 7000}, {"10.2.0.2", 80}, true, false, 10'000},
                               {{"10.2.0.3", 7000}, {"10.2.0.4", 80}, true, false, 0}};
    auto read = sent_and_received(report);
    CHECK(read.capacity == 1'095);
    CHECK(read.ranks_readers_by_capacity);
    CHECK(read.summary->members == report.summary->members);
    REQUIRE(read.works.size() == 1);
    CHECK(read.works[0].upstream == upstream_name("i-1"));
    CHECK(read.works[0].started_unix_ms == 7);
    CHECK(read.works[0].percent == 250);
    CHECK(read.works[0].age == 40ms);

    SECTION("a figure that makes no sense is left out")
    {
        report.works = {{upstream_name("i-1"), 7, 0, 40ms}, {upstream_name("i-2"), 7, 4'000'000'000, 40ms}};
        CHECK(sent_and_received(report).works.empty());
    }
}

TEST_CASE("a report says when the store last confirmed the operator's entries")
{
    auto report = plain_report();
    CHECK_FALSE(sent_and_received(report).store_answer_age);
    for (const auto age : {0ms, 1ms, 1'234ms}) {
        report.store_answer_age = age;
        CHECK(sent_and_received(report).store_answer_age == age);
    }
    report.store_answer_age = std::chrono::milliseconds::max(); // beyond all bounds: as good as unknown
    CHECK_FALSE(sent_and_received(report).store_answer_age);
}
