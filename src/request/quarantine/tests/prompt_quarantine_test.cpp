#include "cardamomstream/request/quarantine/prompt_quarantine.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const endpoint self{"10.0.0.1", 7020};
const time_point start = time_point{} + 1h;
constexpr std::uint64_t bad = 0xbad;
constexpr std::uint64_t shared = 0x5;

upstream_name upstream(std::size_t number)
{
    return upstream_name("i-" + std::to_string(number));
}

quarantine_verdict verdict_of(const prompt_quarantine& quarantine, const shared_part_ids& parts,
                              time_point at)
{
    return quarantine.check(parts, false, at).verdict;
}

/// Ends of upstreams under one part, each 100 ms after the end before and 50 ms after its request was sent.
time_point end_upstreams(prompt_quarantine& quarantine, std::size_t count, time_point at)
{
    for (std::size_t number = 0; number < count; ++number) {
        at += 100ms;
        quarantine.record_crash({shared, bad}, upstream(number), 1, at - 50ms, at);
    }
    return at;
}

/// What a VM that reports all this tells another one.
vm_report report_of(prompt_quarantine& quarantine, time_point at)
{
    auto told = quarantine.take_report(at);
    vm_report report;
    report.part_crashes = std::move(told.crashes);
    report.part_successes = std::move(told.successes);
    report.part_trials = std::move(told.trials);
    return report;
}

} // namespace

TEST_CASE("upstreams end one after another under the same prompt part")
{
    prompt_quarantine quarantine(self);
    quarantine.record_success({shared, 0x7}, start);

    SECTION("one end may have any cause")
    {
        const auto at = end_upstreams(quarantine, 1, start);
        CHECK(verdict_of(quarantine, {shared, bad}, at) == quarantine_verdict::allowed);
    }
    SECTION("after two, a single request may try it")
    {
        const auto at = end_upstreams(quarantine, 2, start);
        CHECK(verdict_of(quarantine, {shared, bad}, at) == quarantine_verdict::trial);
        const prompt_quarantine::trial trial(quarantine, {shared, bad}, at);
        CHECK(verdict_of(quarantine, {shared, bad}, at) == quarantine_verdict::refused);
        CHECK(trial.may_begin(at + prompt_quarantine::trial_notice));
    }
    SECTION("after three, none may for a time that grows with each further end")
    {
        auto at = end_upstreams(quarantine, 3, start);
        const auto first = quarantine.check({shared, bad}, false, at);
        CHECK(first.verdict == quarantine_verdict::refused);
        quarantine.record_crash({shared, bad}, upstream(3), 1, at + 10s, at + 11s);
        at += 11s;
        const auto second = quarantine.check({shared, bad}, false, at);
        CHECK(second.retry_after > 2 * first.retry_after);
        SECTION("and callers are told that time")
        {
            CHECK(verdict_of(quarantine, {bad}, at + second.retry_after - 1ms) ==
                  quarantine_verdict::refused);
            CHECK(verdict_of(quarantine, {bad}, at + second.retry_after) == quarantine_verdict::trial);
        }
    }
    SECTION("the other parts of the prompt were answered before and stay free")
    {
        const auto at = end_upstreams(quarantine, 6, start);
        CHECK(verdict_of(quarantine, {shared, 0x7}, at) == quarantine_verdict::allowed);
    }
    SECTION("a VM that passes the request on has decided; the other one knows only whether it is refused")
    {
        const auto at = end_upstreams(quarantine, 2, start);
        CHECK(quarantine.check({bad}, true, at).verdict == quarantine_verdict::allowed);
        end_upstreams(quarantine, 5, at);
        CHECK(quarantine.check({bad}, true, at + 1s).verdict == quarantine_verdict::refused);
    }
    SECTION("an answer ends all suspicion")
    {
        const auto at = end_upstreams(quarantine, 4, start);
        const auto changes = quarantine.record_success({bad}, at);
        REQUIRE(changes.size() == 1);
        CHECK_FALSE(changes[0].quarantined);
        CHECK(verdict_of(quarantine, {bad}, at) == quarantine_verdict::allowed);
        CHECK(quarantine.quarantined() == 0);
    }
}

TEST_CASE("one end of an upstream breaks many requests")
{
    prompt_quarantine quarantine(self);
    for (int request = 0; request < 10; ++request) {
        quarantine.record_crash({bad}, upstream(1), 1, start + request * 10ms, start + 200ms);
    }
    CHECK(verdict_of(quarantine, {bad}, start + 200ms) == quarantine_verdict::allowed);
    SECTION("its next process may end as well")
    {
        quarantine.record_crash({bad}, upstream(1), 2, start + 1s, start + 2s);
        CHECK(verdict_of(quarantine, {bad}, start + 2s) == quarantine_verdict::trial);
    }
}

TEST_CASE("an outage ends many upstreams at the same time")
{
    prompt_quarantine quarantine(self);
    SECTION("no part is refused, nor are parts that were never seen before")
    {
        for (std::size_t number = 0; number < 2'000; ++number) {
            quarantine.record_crash({shared, 0x1000 + number % 300}, upstream(number % 200), 1, start,
                                    start + 500ms);
        }
        for (std::uint64_t part = 0x1000; part < 0x1000 + 300; ++part) {
            CHECK(verdict_of(quarantine, {shared, part}, start + 500ms) == quarantine_verdict::allowed);
        }
    }
    SECTION("nor when the ends are seen by other VMs, whose reports come late")
    {
        vm_report report;
        for (std::uint64_t number = 0; number < 90; ++number) {
            report.part_crashes.push_back({bad, number % 7, upstream(number), 1, 400ms, 100ms});
        }
        quarantine.record_crash({bad}, upstream(100), 1, start, start + 300ms);
        for (auto late = 0ms; late <= 250ms; late += 50ms) {
            quarantine.apply_reported(report, start + 400ms + late);
        }
        CHECK(verdict_of(quarantine, {bad}, start + 1s) == quarantine_verdict::allowed);
    }
}

TEST_CASE("a VM learns from the reports of another one")
{
    prompt_quarantine observer(self);
    prompt_quarantine late({"10.0.0.2", 7020});
    observer.record_success({shared}, start);
    const auto at = end_upstreams(observer, 4, start);
    late.apply_reported(report_of(observer, at), at + 100ms);
    CHECK(verdict_of(late, {bad}, at + 100ms) == quarantine_verdict::refused);

    SECTION("and tells a third one, also when the first one is gone")
    {
        prompt_quarantine third({"10.0.0.3", 7020});
        for (int reports = 0; reports < 5; ++reports) {
            third.apply_reported(report_of(late, at + 30s), at + 30s);
        }
        CHECK(third.quarantined() == 1);
        CHECK(third.check({bad}, false, at + 1s).retry_after ==
              late.check({bad}, false, at + 1s).retry_after);
    }
    SECTION("reports that go round don't make an end younger")
    {
        for (auto round = at; round < at + 1min; round += 200ms) {
            observer.apply_reported(report_of(late, round), round + 80ms);
            late.apply_reported(report_of(observer, round), round + 80ms);
        }
        CHECK(verdict_of(observer, {bad}, at + 20s) == quarantine_verdict::trial);
    }
    SECTION("an answer clears the part at both")
    {
        late.record_success({bad}, at + 1s);
        observer.apply_reported(report_of(late, at + 1s), at + 1100ms);
        CHECK(observer.quarantined() == 0);
        SECTION("a late report of the ends changes nothing")
        {
            vm_report delayed;
            delayed.part_crashes.push_back({bad, 1, upstream(1), 1, 200ms, 150ms});
            delayed.part_crashes.push_back({bad, 1, upstream(2), 1, 100ms, 50ms});
            observer.apply_reported(delayed, at + 5s);
            CHECK(verdict_of(observer, {bad}, at + 5s) == quarantine_verdict::allowed);
        }
    }
}

TEST_CASE("two VMs want to try the same part")
{
    prompt_quarantine first(self);
    prompt_quarantine second({"10.0.0.2", 7020});
    const auto at = end_upstreams(first, 2, start);
    second.apply_reported(report_of(first, at), at + 100ms);

    SECTION("the one that announced it earlier goes first")
    {
        const prompt_quarantine::trial earlier(first, {bad}, at + 1s);
        const prompt_quarantine::trial later(second, {bad}, at + 1'500ms);
        second.apply_reported(report_of(first, at + 1'600ms), at + 1'700ms);
        first.apply_reported(report_of(second, at + 1'600ms), at + 1'700ms);
        CHECK(earlier.may_begin(at + 1'700ms));
        CHECK_FALSE(later.may_begin(at + 2'200ms));
    }
    SECTION("at the same time: one of them")
    {
        const prompt_quarantine::trial one(first, {bad}, at + 1s);
        const prompt_quarantine::trial other(second, {bad}, at + 1s);
        second.apply_reported(report_of(first, at + 1s), at + 1'080ms);
        first.apply_reported(report_of(second, at + 1s), at + 1'080ms);
        CHECK(one.may_begin(at + 1'700ms) != other.may_begin(at + 1'700ms));
    }
    SECTION("a VM that ends meanwhile holds up the other one for two seconds only")
    {
        {
            const prompt_quarantine::trial lost(first, {bad}, at + 1s);
            second.apply_reported(report_of(first, at + 1s), at + 1'080ms);
        }
        CHECK(verdict_of(second, {bad}, at + 2s) == quarantine_verdict::refused);
        CHECK(verdict_of(second, {bad}, at + 3'100ms) == quarantine_verdict::trial);
    }
}

TEST_CASE("callers send ever new parts")
{
    prompt_quarantine quarantine(self);
    end_upstreams(quarantine, 4, start);
    auto at = start + 1s;
    for (std::uint64_t part = 0; part < 3 * prompt_quarantine::max_suspects; ++part) {
        at += 1ms;
        quarantine.record_crash({0x10'0000 + part}, upstream(1'000 + part), 1, at - 1ms, at);
        quarantine.record_success({0x20'0000 + part}, at);
    }
    SECTION("the quarantined one stays in memory, and reports stay small")
    {
        CHECK(verdict_of(quarantine, {bad}, at) == quarantine_verdict::refused);
        const auto report = quarantine.take_report(at);
        CHECK(report.crashes.size() <= 100);
        CHECK(report.successes.size() <= 100);
    }
}

TEST_CASE("upstreams end one after another under the same request")
{
    prompt_quarantine quarantine(self, whole_request_quarantine());

    SECTION("after three ends it is kept away for the rest of a day, but for three trials")
    {
        auto at = end_upstreams(quarantine, 3, start);
        int trials = 0;
        for (const auto day_ends = at + 24h; at < day_ends; at += 1min) {
            if (verdict_of(quarantine, {bad}, at) == quarantine_verdict::trial) {
                ++trials;
                quarantine.record_crash({bad}, upstream(100 + static_cast<std::size_t>(trials)), 1, at,
                                        at + 50ms);
            }
        }
        CHECK(trials == 3);
    }
    SECTION("connections that break may have been reset: five of them count as three ends")
    {
        auto at = start;
        for (std::uint64_t send = 1; send <= 5; ++send) {
            CHECK(verdict_of(quarantine, {bad}, at) != quarantine_verdict::refused);
            at += 100ms;
            quarantine.record_crash({bad}, upstream(1), 1, at - 50ms, at, send);
        }
        CHECK(verdict_of(quarantine, {bad}, at) == quarantine_verdict::refused);
    }
    SECTION("a complete answer clears it")
    {
        const auto at = end_upstreams(quarantine, 3, start);
        quarantine.record_success({bad}, at);
        CHECK(verdict_of(quarantine, {bad}, at) == quarantine_verdict::allowed);
    }
    SECTION("other VMs learn it, also one that starts later, and don't take it for a prompt part")
    {
        const auto at = end_upstreams(quarantine, 3, start);
        const auto report = report_of(quarantine, at);
        prompt_quarantine requests({"10.0.0.2", 7020}, whole_request_quarantine());
        prompt_quarantine parts({"10.0.0.2", 7020});
        requests.apply_reported(report, at + 100ms);
        parts.apply_reported(report, at + 100ms);
        CHECK(verdict_of(requests, {bad}, at + 100ms) == quarantine_verdict::refused);
        CHECK(verdict_of(parts, {bad}, at + 100ms) == quarantine_verdict::allowed);
        const auto later = at + 5min;
        prompt_quarantine restarted({"10.0.0.3", 7020}, whole_request_quarantine());
        for (int full = 0; full < 5; ++full) {
            restarted.apply_reported(report_of(requests, later), later + 100ms);
        }
        CHECK(verdict_of(restarted, {bad}, later + 100ms) == quarantine_verdict::refused);
    }
    SECTION(
        "one VM sees a connection break, others further ones: each counts once, however often it is reported")
    {
        prompt_quarantine other({"10.0.0.2", 7020}, whole_request_quarantine());
        quarantine.record_crash({bad}, upstream(1), 1, start, start + 50ms, 7);
        for (auto late = 100ms; late < 3s; late += 200ms) {
            other.apply_reported(report_of(quarantine, start + 60ms), start + late);
        }
        CHECK(verdict_of(other, {bad}, start + 3s) == quarantine_verdict::allowed);
    }
    SECTION("the table stays bounded under ever new requests")
    {
        for (std::uint64_t request = 0; request < 3 * prompt_quarantine::max_suspects; ++request) {
            quarantine.record_crash({request}, upstream(1), 1, start, start + 50ms, request + 1);
        }
        CHECK(quarantine.take_report(start + 50ms).crashes.size() <= 48);
    }
}
