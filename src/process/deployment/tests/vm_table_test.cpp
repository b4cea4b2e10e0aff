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

TEST_CASE("reports of other VMs arrive")
{
    const time_point start{1'000s};
    vm_table table(vm_name("self"), data_centre_name("riga-a"));
    REQUIRE(table.apply(report_of("a", 1, 5), start));

    SECTION("an older or repeated one is ignored")
    {
        CHECK_FALSE(table.apply(report_of("a", 1, 5), start));
        CHECK_FALSE(table.apply(report_of("a", 1, 4), start));
    }
    SECTION("a restarted process counts from one again")
    {
        CHECK(table.apply(report_of("a", 2, 1), start));
    }
    SECTION("the own report, sent back, is ignored")
    {
        CHECK_FALSE(table.apply(report_of("self", 1, 9), start));
    }
    SECTION("a silent VM is not alive, and shares fleet-wide quotas for a while longer")
    {
        CHECK(table.alive(start + 1s).size() == 1);
        CHECK(table.alive(start + 2s).empty());
        CHECK(table.sharers(start + 20s) == 1);
        table.expire(start + 31s);
        CHECK(table.sharers(start + 31s) == 0);
    }
    SECTION("its address stays known, so that the two VMs find each other after a partition")
    {
        table.expire(start + 60s);
        CHECK(table.silent_neighbours(start + 60s) == std::set<endpoint>{{"10.0.0.2", 7000}});
        CHECK(table.known_in(data_centre_name("riga-a")) == std::set<endpoint>{{"10.0.0.2", 7000}});
    }
}

TEST_CASE("the store fails for some VMs")
{
    const time_point start{1'000s};
    vm_table table(vm_name("self"), data_centre_name("riga-a"));
    const auto hear = [&](int vms, bool failing) {
        for (int vm = 0; vm < vms; ++vm) {
            auto report = report_of((failing ? "failing-" : "healthy-") + std::to_string(vm), 1, 1);
            report.reads_store = true;
            report.store_failing = failing;
            table.apply(report, start);
        }
    };
    SECTION("a single one in a large fleet may have a connection problem of its own")
    {
        hear(40, false);
        hear(1, true);
        CHECK_FALSE(table.peers_report_store_outage(start));
    }
    SECTION("several show an outage, before this VM's own watch does")
    {
        hear(20, false);
        hear(5, true);
        CHECK(table.peers_report_store_outage(start));
        CHECK_FALSE(table.peers_report_store_outage(start + 5s));
    }
    SECTION("in a small fleet one is enough")
    {
        hear(4, false);
        hear(1, true);
        CHECK(table.peers_report_store_outage(start));
    }
    SECTION("VMs that do not read the store do not count, however many they are")
    {
        for (int vm = 0; vm < 40; ++vm) {
            auto report = report_of("listens-" + std::to_string(vm), 1, 1);
            table.apply(report, start);
        }
        hear(1, false);
        hear(1, true);
        CHECK(table.peers_report_store_outage(start));
    }
    SECTION("readers of another data centre count as given by its summary")
    {
        hear(20, false);
        auto report = report_of("elsewhere", 1, 1);
        report.data_centre = data_centre_name("kurzeme-a");
        report.summary.emplace();
        report.summary->store_readers = 4;
        report.summary->store_readers_failing = 3;
        table.apply(report, start);
        CHECK(table.peers_report_store_outage(start));
    }
}

TEST_CASE("two VMs send summaries of another data centre")
{
    const time_point start{1'000s};
    vm_table table(vm_name("self"), data_centre_name("riga-a"));
    const auto summary_by = [&](const std::string& vm, std::uint64_t sequence, std::uint32_t sharers) {
        auto report = report_of(vm, 1, sequence);
        report.data_centre = data_centre_name("kurzeme-a");
        report.summary.emplace();
        report.summary->sharers = sharers;
        report.summary->members = {{{"10.2.0.1", 7000}, {"10.2.0.1", 80}, true}};
        return report;
    };
    REQUIRE(table.apply(summary_by("a", 1, 5), start));
    REQUIRE(table.apply(summary_by("b", 1, 9), start + 100ms));

    SECTION("one of them is used")
    {
        CHECK(table.alive(start + 100ms).size() == 1);
        CHECK(table.sharers(start + 100ms) == 5);
    }
    SECTION("the other one once the first is silent")
    {
        table.apply(summary_by("b", 2, 9), start + 800ms);
        CHECK(table.sharers(start + 800ms) == 9);
        SECTION("and the choice stays when the first is heard again, since their totals differ")
        {
            table.apply(summary_by("a", 2, 5), start + 900ms);
            CHECK(table.sharers(start + 900ms) == 9);
        }
    }
    SECTION("a summary that arrives by two paths counts once")
    {
        CHECK_FALSE(table.apply(summary_by("a", 1, 5), start + 10ms));
    }
    SECTION("a direct report of a VM of the other data centre is not counted in addition to the summary")
    {
        auto direct = report_of("c", 1, 1);
        direct.data_centre = data_centre_name("kurzeme-a");
        CHECK_FALSE(table.apply(direct, start));
        CHECK(table.alive(start).size() == 1);
    }
}

TEST_CASE("a report is encoded and decoded")
{
    auto sent = report_of("a", 0xffffffffffffffffULL, 7);
    sent.limits = {{upstream_name("u"), 17, 2.5, 400ms}, {upstream_name("v"), 18, std::nullopt, 0ms}};
    sent.part_crashes = {{0xffffffffffffffffULL, 9, upstream_name("u"), 17, 900ms, 400ms}};
    sent.part_successes = {{5, 300ms}};
    sent.part_trials = {{6, 0xeeeeeeeeeeeeeeeeULL, 200ms}};
    sent.stream_origins = {{pool_name("s"), "v1", {0xddddddddddddddddULL, 1}}, {pool_name("s"), "v2", {2}}};
    sent.asks_for_origins = {{3, 70}};
    sent.origins = {
        {3, 71}, 20'000ms, {{pool_name("s"), "v1", 400ms}}, {{pool_name("s"), "v2", {7}, 2'000ms}}};
    sent.loads.push_back({upstream_name("u"), 3, 250ms, 9'000, {0xffffffffffffffffULL, 4}});
    sent.lateness.push_back({pool_name("s"), 2, -30ms, 7});
    sent.uses.push_back({customer_name("c"), 12.5});
    sent.known_vms.push_back({"10.0.0.3", 7000});
    sent.read_up_to = {{2, 8}, {3, 9}};
    sent.read_from = {{2, 6}, {3, 7}};
    sent.changes = store_changes{store_part::upstreams,
                                 {3, 4},
                                 {3, 9},
                                 true,
                                 {{"k", std::string("\0v", 2), 7, false}, {"l", {}, 8, true}}};
    sent.known_elsewhere.push_back({"10.0.0.4", 7000});
    sent.known_changes = {{2, 1ULL << 40U}, {3, 7}};
    sent.store_failing = true;
    sent.reads_store = true;
    sent.asks_for_members = true;
    sent.summary.emplace();
    sent.summary->members = {{{"10.2.0.1", 7000}, {"10.2.0.2", 80}, true}, {{"10.2.0.3", 7001}, {}, false}};
    sent.summary->sharers = 12;
    sent.summary->store_readers = 2;
    sent.summary->store_readers_failing = 1;
    sent.summary->relayed = true;

    SECTION("and the decoded report equals the original")
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
        REQUIRE(read.value().limits.size() == 2);
        CHECK(read.value().limits[0].upstream == upstream_name("u"));
        CHECK(read.value().limits[0].started_unix_ms == 17);
        CHECK(read.value().limits[0].requests_per_second == 2.5);
        CHECK(read.value().limits[0].age == 400ms);
        CHECK_FALSE(read.value().limits[1].requests_per_second);
        REQUIRE(read.value().part_crashes.size() == 1);
        CHECK(read.value().part_crashes[0].part == 0xffffffffffffffffULL);
        CHECK(read.value().part_crashes[0].observer == 9);
        CHECK(read.value().part_crashes[0].upstream == upstream_name("u"));
        CHECK(read.value().part_crashes[0].started_unix_ms == 17);
        CHECK(read.value().part_crashes[0].sent_age == 900ms);
        CHECK(read.value().part_crashes[0].ended_age == 400ms);
        CHECK(read.value().part_successes.at(0).part == 5);
        CHECK(read.value().part_successes.at(0).age == 300ms);
        CHECK(read.value().part_trials.at(0).part == 6);
        CHECK(read.value().part_trials.at(0).vm == 0xeeeeeeeeeeeeeeeeULL);
        CHECK(read.value().part_trials.at(0).age == 200ms);
        REQUIRE(read.value().stream_origins.size() == 2);
        CHECK(read.value().stream_origins[0].service == pool_name("s"));
        CHECK(read.value().stream_origins[0].version == "v1");
        CHECK(read.value().stream_origins[0].attempts == sent.stream_origins[0].attempts);
        CHECK(read.value().stream_origins[1].attempts == sent.stream_origins[1].attempts);
        REQUIRE(read.value().asks_for_origins);
        CHECK(read.value().asks_for_origins->known_from == store_position{3, 70});
        REQUIRE(read.value().origins);
        const auto& origins = *read.value().origins;
        CHECK(origins.read_up_to == store_position{3, 71});
        CHECK(origins.list_known == 20'000ms);
        REQUIRE(origins.versions.size() == 1);
        CHECK(origins.versions[0].service == pool_name("s"));
        CHECK(origins.versions[0].version == "v1");
        CHECK(origins.versions[0].age == 400ms);
        REQUIRE(origins.streams.size() == 1);
        CHECK(origins.streams[0].attempts == std::vector<std::uint64_t>{7});
        CHECK(origins.streams[0].age == 2'000ms);
        CHECK(read.value().lateness[0].service == pool_name("s"));
        CHECK(read.value().lateness[0].urgency == 2);
        CHECK(read.value().lateness[0].mean == -30ms);
        CHECK(read.value().lateness[0].samples == 7);
        CHECK(read.value().loads[0].prefill_left == 250ms);
        CHECK(read.value().loads[0].memory_tokens == 9'000);
        CHECK(read.value().loads[0].new_parts == sent.loads[0].new_parts);
        CHECK(read.value().uses[0].admitted == 12.5);
        CHECK(read.value().known_vms == sent.known_vms);
        CHECK(read.value().known_elsewhere == sent.known_elsewhere);
        CHECK(read.value().read_up_to == sent.read_up_to);
        CHECK(read.value().read_from == sent.read_from);
        REQUIRE(read.value().changes);
        CHECK(read.value().changes->part == store_part::upstreams);
        CHECK(read.value().changes->after == store_position{3, 4});
        CHECK(read.value().changes->up_to == store_position{3, 9});
        CHECK(read.value().changes->after_outage);
        REQUIRE(read.value().changes->items.size() == 2);
        CHECK(read.value().changes->items[0].value == std::string("\0v", 2));
        CHECK(read.value().changes->items[1].key == "l");
        CHECK(read.value().changes->items[1].revision == 8);
        CHECK(read.value().changes->items[1].removed);
        CHECK(read.value().known_changes == sent.known_changes);
        CHECK(read.value().store_failing);
        CHECK(read.value().reads_store);
        CHECK(read.value().asks_for_members);
        REQUIRE(read.value().summary);
        const auto& summary = *read.value().summary;
        REQUIRE(summary.members.size() == 2);
        CHECK(summary.members[0].inner == endpoint{"10.2.0.1", 7000});
        CHECK(summary.members[0].entry == endpoint{"10.2.0.2", 80});
        CHECK(summary.members[0].ready);
        CHECK(summary.members[1].inner == endpoint{"10.2.0.3", 7001});
        CHECK_FALSE(summary.members[1].ready);
        CHECK(summary.sharers == 12);
        CHECK(summary.store_readers == 2);
        CHECK(summary.store_readers_failing == 1);
        CHECK(summary.relayed);
    }
    SECTION("an end of an upstream before its request was sent makes no sense and is left out")
    {
        sent.part_crashes[0].ended_age = 901ms;
        const auto read = decode_report(encode_report(sent));
        REQUIRE(read);
        CHECK(read.value().part_crashes.empty());
    }
    SECTION("bytes that are not a report are rejected")
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
