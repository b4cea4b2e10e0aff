#include "cardamomstream/process/deployment/vm_report_codec.h"
#include "cardamomstream/process/deployment/vm_table.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

vm_report report_of(const std::string& vm, std::uint64_t process, std::uint64_t sequence)
{
    vm_report report;
    report.vm = vm_name(vm);
    report.process = {process};
    report.sequence = sequence;
    report.region = region_name("riga");
    report.data_centre = data_centre_name("riga-a");
    report.entry = {"10.0.0.2", 80};
    report.inner = {"10.0.0.2", 7000};
    report.ready = true;
    return report;
}

} // namespace

TEST_CASE("reports of the other VMs arrive")
{
    const time_point start{1'000s};
    vm_table table(vm_name("self"));
    REQUIRE(table.apply(report_of("a", 1, 5), start));

    SECTION("an older or repeated one is passed over")
    {
        CHECK_FALSE(table.apply(report_of("a", 1, 5), start));
        CHECK_FALSE(table.apply(report_of("a", 1, 4), start));
    }
    SECTION("a process that started anew counts from one again")
    {
        CHECK(table.apply(report_of("a", 2, 1), start));
    }
    SECTION("the own report, sent back, is no other VM")
    {
        CHECK_FALSE(table.apply(report_of("self", 1, 9), start));
    }
    SECTION("a VM that falls silent is not alive, and shares fleet-wide rights for a while longer")
    {
        CHECK(table.alive(start + 1s).size() == 1);
        CHECK(table.alive(start + 2s).empty());
        CHECK(table.sharers(start + 20s) == 1);
        table.expire(start + 31s);
        CHECK(table.sharers(start + 31s) == 0);
    }
    SECTION("its address stays known, so that the two find each other after a partition")
    {
        table.expire(start + 60s);
        CHECK(table.addresses() == std::vector<endpoint>{{"10.0.0.2", 7000}});
    }
}

TEST_CASE("the store fails some VMs")
{
    const time_point start{1'000s};
    vm_table table(vm_name("self"));
    const auto hear = [&](int vms, bool failing) {
        for (int vm = 0; vm < vms; ++vm) {
            auto report = report_of((failing ? "failing-" : "sound-") + std::to_string(vm), 1, 1);
            report.store_failing = failing;
            table.apply(report, start);
        }
    };
    SECTION("a single one in a large fleet may be cut off by itself")
    {
        hear(40, false);
        hear(1, true);
        CHECK_FALSE(table.store_fails_others(start));
    }
    SECTION("several tell of an outage, before this VM's own watch shows it")
    {
        hear(20, false);
        hear(5, true);
        CHECK(table.store_fails_others(start));
        CHECK_FALSE(table.store_fails_others(start + 5s));
    }
    SECTION("in a small fleet one is enough")
    {
        hear(4, false);
        hear(1, true);
        CHECK(table.store_fails_others(start));
    }
}

TEST_CASE("a report goes through its codec")
{
    auto sent = report_of("a", 0xffffffffffffffffULL, 7);
    sent.loads.push_back({upstream_name("u"), 3, 250ms, 9'000, {0xffffffffffffffffULL, 4}});
    sent.lateness.push_back({pool_name("s"), 2, -30ms, 7});
    sent.uses.push_back({customer_name("c"), 12.5});
    sent.known_vms.push_back({"10.0.0.3", 7000});
    sent.known_changes = {1ULL << 40U, 7};
    sent.store_failing = true;

    SECTION("and comes out as it went in")
    {
        const auto read = decode_report(encode_report(sent));
        REQUIRE(read);
        CHECK(read.value().process == sent.process);
        CHECK(read.value().vm == sent.vm);
        CHECK(read.value().sequence == sent.sequence);
        CHECK(read.value().region == sent.region);
        CHECK(read.value().data_centre == sent.data_centre);
        CHECK(read.value().entry == sent.entry);
        CHECK(read.value().inner == sent.inner);
        CHECK(read.value().ready);
        CHECK_FALSE(read.value().leaving);
        CHECK(read.value().loads[0].upstream == sent.loads[0].upstream);
        CHECK(read.value().loads[0].running == 3);
        CHECK(read.value().lateness[0].service == pool_name("s"));
        CHECK(read.value().lateness[0].urgency == 2);
        CHECK(read.value().lateness[0].mean == -30ms);
        CHECK(read.value().lateness[0].samples == 7);
        CHECK(read.value().loads[0].reading_left == 250ms);
        CHECK(read.value().loads[0].memory_tokens == 9'000);
        CHECK(read.value().loads[0].new_parts == sent.loads[0].new_parts);
        CHECK(read.value().uses[0].admitted == 12.5);
        CHECK(read.value().known_vms == sent.known_vms);
        CHECK(read.value().known_changes == sent.known_changes);
        CHECK(read.value().store_failing);
    }
    SECTION("bytes that are none are refused")
    {
        CHECK_FALSE(decode_report(""));
        CHECK_FALSE(decode_report("\xff\x00"));
        CHECK_FALSE(decode_report("[]"));
        CHECK_FALSE(decode_report(R"({"vm":"a"})"));
        CHECK_FALSE(decode_report(encode_report({})));
        const auto text = encode_report(sent);
        CHECK_FALSE(decode_report(text.substr(0, text.size() / 2)));
    }
}
