#include "cardamomstream/process/deployment/reported_ends.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

std::vector<upstream_end> end_of(const char* upstream, std::int64_t started, std::chrono::milliseconds age)
{
    return {{upstream_name(upstream), started, age}};
}

} // namespace

// An end counted as new by its age, which a report on a full link exceeded.
TEST_CASE("an end is new in the first report of it, however old it is, and not in those that repeat it")
{
    const time_point start{1h};
    reported_ends ends;
    REQUIRE(ends.record(end_of("a", 1, 450ms), start));

    SECTION("the same sign comes again, and that of another VM soon after it")
    {
        CHECK_FALSE(ends.record(end_of("a", 1, 650ms), start + 200ms));
        CHECK_FALSE(ends.record(end_of("a", 1, 100ms), start + 100ms));
    }
    SECTION("the next process of the upstream ends before it is listed")
    {
        CHECK(ends.record(end_of("a", 1, 50ms), start + 1s));
        CHECK_FALSE(ends.record(end_of("a", 1, 50ms), start + 1'200ms));
    }
    SECTION("a listed process, or another upstream, ends")
    {
        CHECK(ends.record(end_of("a", 2, 0ms), start + 10ms));
        CHECK(ends.record(end_of("b", 1, 0ms), start + 10ms));
    }
    SECTION("a report without ends has no new one")
    {
        CHECK_FALSE(ends.record({}, start));
    }
}
