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
