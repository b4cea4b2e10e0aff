#include "cardamomstream/request/stream_origin/stream_origins.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;
const pool_name service("s");
const request_id attempt("9c");
const stream_origin old_version{service, "v1"};
const stream_origin new_version{service, "v2"};

/// A VM that has known this list without a gap from `from` to `until`, and has read it then.
void confirm(stream_origins& origins, time_point from, time_point until)
{
    for (auto at = from; at <= until; at += 200ms) {
        origins.set_list_confirmed(true, at);
    }
    origins.set_list_read(until);
}

} // namespace

TEST_CASE("a caller takes up a stream")
{
    stream_origins origins;
    origins.set_listed({{service, {"v1"}}}, start);
    const auto life = stream_origins::min_stream_life;

    SECTION("that this VM began")
    {
        origins.record(attempt, old_version, true, start);
        CHECK(origins.find(attempt, service, start + 1s) == old_version);
        SECTION("also when the upstream has started again with another version")
        {
            origins.set_listed({{service, {"v2"}}}, start + 1s);
            CHECK(origins.find(attempt, service, start + 2s) == old_version);
        }
    }
    SECTION("that began at an upstream whose version wasn't certain")
    {
        origins.record(attempt, std::nullopt, true, start);
        confirm(origins, start, start + life);
        CHECK_FALSE(origins.find(attempt, service, start + life));
    }
    SECTION("of which nothing is known, while a single version serves")
    {
        confirm(origins, start, start + life);
        CHECK_FALSE(origins.find(attempt, service, start + life - 1ms));
        CHECK(origins.find(attempt, service, start + life) == old_version);
        SECTION("but the VM doesn't know whether that is still so")
        {
            origins.set_list_confirmed(false, start + life);
            CHECK_FALSE(origins.find(attempt, service, start + life));
            confirm(origins, start + life + 1s, start + life + 2s);
            CHECK_FALSE(origins.find(attempt, service, start + life + 2s));
        }
        SECTION("but the list was read before the caller came, when a newer one may not have been in it")
        {
            CHECK_FALSE(origins.find(attempt, service, start + life + 1ms));
            CHECK_FALSE(origins.find(attempt, service, start + life + 6s));
        }
        SECTION("but this VM stood still meanwhile, so that another one may have come and gone")
        {
            confirm(origins, start + life + 20s, start + life + 21s);
            CHECK_FALSE(origins.find(attempt, service, start + life + 21s));
        }
        SECTION("but another VM has seen a second one")
        {
            origins.apply_reported({{service, "v2", {17}}}, start + life);
            CHECK_FALSE(origins.find(attempt, service, start + life));
        }
    }
    SECTION("of which nothing is known, and the other version has just left")
    {
        origins.set_listed({{service, {"v1", "v2"}}}, start + 1s);
        origins.set_listed({{service, {"v2"}}}, start + 40s);
        confirm(origins, start, start + 40s + life);
        CHECK_FALSE(origins.find(attempt, service, start + 40s + life - 1ms));
        CHECK(origins.find(attempt, service, start + 40s + life) == new_version);
    }
    SECTION("of a route whose callers wait longer")
    {
        origins.set_stream_life(60s);
        confirm(origins, start, start + 60s);
        CHECK_FALSE(origins.find(attempt, service, start + 60s));
        origins.set_stream_life(10s); // callers of the earlier plan still wait
        CHECK_FALSE(origins.find(attempt, service, start + 60s));
    }
}

TEST_CASE("VMs tell each other where their streams began")
{
    stream_origins first;
    stream_origins second;
    first.set_listed({{service, {"v1"}}}, start);
    const auto life = stream_origins::min_stream_life;
    confirm(first, start, start + life);
    auto at = start + life;
    first.record(attempt, old_version, true, at);

    SECTION("not while a single version serves")
    {
        CHECK(first.take_report(at).empty());
    }
    SECTION("once a second one appears, also of streams that began before")
    {
        first.set_listed({{service, {"v1", "v2"}}}, at + 1s);
        first.record(request_id("9d"), new_version, true, at + 1s);
        second.apply_reported(first.take_report(at + 1s), at + 1s);
        CHECK(second.find(attempt, service, at + 2s) == old_version);
        CHECK(second.find(request_id("9d"), service, at + 2s) == new_version);
        SECTION("each for some time only")
        {
            CHECK_FALSE(first.take_report(at + 1'500ms).empty());
            CHECK(first.take_report(at + 3s).empty());
        }
        SECTION("two that say different things of one stream leave it unknown")
        {
            second.apply_reported({{service, "v2", {}}}, at + 2s);
            stream_origins liar;
            liar.record(attempt, new_version, true, at);
            second.apply_reported(liar.take_report(at), at + 2s);
            CHECK_FALSE(second.find(attempt, service, at + 2s));
        }
    }
    SECTION("a VM that relayed it for another one leaves the report to that one")
    {
        second.record(request_id("9e"), old_version, false, at);
        CHECK(second.find(request_id("9e"), service, at) == old_version);
        CHECK(second.take_report(at).empty());
    }
    SECTION("many at once, in several reports")
    {
        first.set_listed({{service, {"v1", "v2"}}}, at);
        constexpr std::size_t streams = 1'000;
        for (std::size_t number = 0; number < streams; ++number) {
            first.record(request_id(std::to_string(number)), old_version, true, at);
        }
        for (auto report = at; report < at + 3s; report += 200ms) {
            const auto told = first.take_report(report);
            for (const auto& origin : told) {
                CHECK(origin.attempts.size() <= 5 * stream_origins::max_new_per_report);
            }
            second.apply_reported(told, report);
        }
        CHECK(second.size() == streams + 1);
    }
    SECTION("and forget them when no caller can come back")
    {
        first.set_list_confirmed(true, at + life + 1s);
        CHECK(first.size() == 0);
    }
}

namespace {

/// A VM that has known one version for as long as streams live, read up to this position.
stream_origins long_running(const service_versions& versions, store_position read_up_to, time_point until)
{
    stream_origins vm;
    const auto from = until - stream_origins::min_stream_life;
    vm.set_listed(versions, from);
    for (auto at = from; at <= until; at += 200ms) {
        vm.set_list_confirmed(true, at, read_up_to);
    }
    vm.set_list_read(until);
    return vm;
}

/// A VM that has just read this list.
stream_origins just_started(const service_versions& versions, store_position read_up_to, time_point now)
{
    stream_origins vm;
    vm.set_listed(versions, now);
    vm.set_list_confirmed(true, now, read_up_to);
    vm.set_list_read(now);
    return vm;
}

/// Gives a VM the answers for which it asks. Returns their number.
int exchange_answers(stream_origins& asking, const stream_origins& other, time_point now)
{
    int answers = 0;
    for (constexpr int enough = 5; answers < enough && asking.query(now); ++answers) {
        (void)asking.learn(other.knowledge(now), now);
    }
    return answers;
}

} // namespace

// A VM refused all streams from before its start, although its neighbours knew the versions of that time.
TEST_CASE("a VM that has just started learns which versions served before")
{
    const service_versions one{{service, {"v1"}}};
    const store_position listed{1, 50};
    auto now = start + 1h;
    auto old = long_running(one, listed, now);
    auto fresh = just_started(one, listed, now);
    CHECK(fresh.query(now));
    CHECK_FALSE(old.knowledge(now).versions.empty());

    SECTION("from one that has known the list for long")
    {
        CHECK(fresh.gap(attempt, service, now) == origin_gap::list_known_shortly);
        CHECK(exchange_answers(fresh, old, now) == 2);
        CHECK(fresh.find(attempt, service, now) == old_version);
        CHECK(fresh.gap(attempt, service, now) == origin_gap::none);
        CHECK_FALSE(fresh.query(now));
        SECTION("and answers the next one, when the first is gone")
        {
            auto next = just_started(one, listed, now + 1s);
            fresh.set_list_confirmed(true, now + 1s, listed);
            CHECK(exchange_answers(next, fresh, now + 1s) == 2);
            CHECK(next.find(attempt, service, now + 1s) == old_version);
        }
        SECTION("but knows it no longer than the other one did")
        {
            fresh.set_stream_life(60s);
            CHECK_FALSE(fresh.find(attempt, service, now));
        }
    }
    SECTION("not from one that hasn't read the list up to where the own one begins")
    {
        auto later = just_started(one, {1, 51}, now);
        CHECK_FALSE(later.learn(old.knowledge(now), now));
        CHECK_FALSE(later.find(attempt, service, now));
        CHECK(later.query(now));
        old.set_list_confirmed(true, now, {1, 51});
        CHECK(later.learn(old.knowledge(now), now));
        CHECK(later.find(attempt, service, now) == old_version);
    }
    SECTION("not from one that knows the store of another era")
    {
        auto restored = just_started(one, {2, 40}, now);
        CHECK_FALSE(restored.learn(old.knowledge(now), now));
        CHECK_FALSE(restored.find(attempt, service, now));
    }
    SECTION("not from one that doesn't know whether its list is up to date")
    {
        old.set_list_confirmed(false, now, listed);
        (void)fresh.learn(old.knowledge(now), now);
        CHECK_FALSE(fresh.find(attempt, service, now));
    }
    SECTION("not from one that has just started as well")
    {
        const auto other = just_started(one, listed, now);
        (void)fresh.learn(other.knowledge(now), now);
        CHECK_FALSE(fresh.find(attempt, service, now));
        CHECK(fresh.query(now));
    }
    SECTION("a version that has left meanwhile, for as long as its streams live")
    {
        old.set_listed({{service, {"v2"}}}, now);
        auto after = just_started({{service, {"v2"}}}, listed, now + 1s);
        old.set_list_confirmed(true, now + 1s, listed);
        (void)exchange_answers(after, old, now + 1s);
        CHECK(after.gap(attempt, service, now + 1s) == origin_gap::several_versions);
        const auto life = stream_origins::min_stream_life;
        confirm(after, now + 1s, now + 1s + life);
        CHECK(after.find(attempt, service, now + 1s + life) == new_version);
    }
}

// Reports of streams that came before a VM's start were never repeated.
TEST_CASE("a VM that has just started learns where the streams of several versions began")
{
    const service_versions two{{service, {"v1", "v2"}}};
    const store_position listed{1, 50};
    const auto now = start + 1h;
    auto first = long_running(two, listed, now);
    auto second = long_running(two, listed, now);
    const request_id newer("9d");
    first.record(attempt, old_version, true, now - 5s);
    first.record(newer, new_version, true, now);
    second.apply_reported(first.take_report(now), now);
    auto fresh = just_started(two, listed, now);

    SECTION("from the VM at which they began")
    {
        (void)exchange_answers(fresh, first, now);
        CHECK(fresh.find(attempt, service, now) == old_version);
        CHECK(fresh.find(newer, service, now) == new_version);
        SECTION("and forgets them when no caller can come back")
        {
            const auto life = stream_origins::min_stream_life;
            confirm(fresh, now, now + life);
            CHECK(fresh.size() == 1);
            confirm(fresh, now + life, now + life + 1s);
            CHECK(fresh.size() == 0);
        }
    }
    SECTION("from another one, when that VM is gone")
    {
        (void)exchange_answers(fresh, second, now);
        CHECK(fresh.find(attempt, service, now) == old_version);
        CHECK(fresh.find(newer, service, now) == new_version);
        CHECK_FALSE(fresh.find(request_id("9e"), service, now));
    }
    SECTION("not more of them than a datagram bears, the newest first")
    {
        constexpr std::size_t streams = 6'000;
        for (std::size_t number = 0; number < streams; ++number) {
            first.record(request_id("s" + std::to_string(number)), new_version, true, now);
        }
        (void)exchange_answers(fresh, first, now);
        CHECK(fresh.size() == stream_origins::max_streams_per_answer);
        CHECK(fresh.find(request_id("s5999"), service, now) == new_version);
        CHECK_FALSE(fresh.find(attempt, service, now));
    }
}

TEST_CASE("a VM that was cut off from its neighbours asks for the streams of that time")
{
    const store_position listed{1, 50};
    const auto now = start + 1h;
    SECTION("while several versions serve")
    {
        const service_versions two{{service, {"v1", "v2"}}};
        auto neighbour = long_running(two, listed, now);
        neighbour.record(attempt, old_version, true, now - 3s);
        auto cut_off = long_running(two, listed, now);
        (void)exchange_answers(cut_off, long_running(two, listed, now), now);
        CHECK_FALSE(cut_off.query(now));
        cut_off.note_reports_missed(now);
        CHECK(exchange_answers(cut_off, neighbour, now) == 2);
        CHECK(cut_off.find(attempt, service, now) == old_version);
    }
    SECTION("not while a single version serves")
    {
        auto cut_off = long_running({{service, {"v1"}}}, listed, now);
        (void)exchange_answers(cut_off, long_running({{service, {"v1"}}}, listed, now), now);
        cut_off.note_reports_missed(now);
        CHECK_FALSE(cut_off.query(now));
    }
}

// VMs of the landed version answer no query: they learn of a stop's streams by reports alone.
TEST_CASE("a VM that stops reports its streams, also while a single version serves")
{
    const service_versions one{{service, {"v1"}}};
    const auto now = start + 1h;
    auto leaving = long_running(one, {1, 50}, now);
    leaving.record(attempt, old_version, true, now);
    CHECK(leaving.take_report(now).empty());
    auto neighbour = just_started(one, {1, 50}, now);
    neighbour.apply_reported(leaving.take_report(now, true), now);
    CHECK(neighbour.find(attempt, service, now) == old_version);
    CHECK_FALSE(leaving.take_report(now + stream_origins::report_time / 2, true).empty());
    CHECK(leaving.take_report(now + stream_origins::report_time, true).empty());
}
