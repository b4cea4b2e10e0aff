#include "cardamomstream/request/gateway/entry_limits.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

caller_limits limits_of(std::uint32_t header, std::uint64_t body, std::chrono::milliseconds header_timeout,
                        std::chrono::milliseconds idle)
{
    return {header, body, header_timeout, idle};
}

} // namespace

// VMs kept limits of their own, whatever the configuration allowed.
TEST_CASE("the listener's limits follow the plan in force")
{
    const time_point start{1h};
    http_limits unstated;
    unstated.max_header_bytes = 1'000;
    unstated.idle_timeout = 20s;
    entry_limits limits(unstated);

    SECTION("without a plan they are provisional")
    {
        CHECK(limits.at(start).provisional);
        CHECK(limits.at(start).max_header_bytes == 1'000);
    }
    SECTION("the first plan's are in force at once, also where they are smaller")
    {
        limits.apply(limits_of(500, 2'000, 1s, 10s), start);
        const auto now = limits.at(start);
        CHECK_FALSE(now.provisional);
        CHECK(now.max_header_bytes == 500);
        CHECK(now.max_body_bytes == 2'000);
        CHECK(now.header_timeout == 1s);
        CHECK(now.idle_timeout == 10s);
    }
    SECTION("a limit that the plan doesn't state is the listener's own")
    {
        limits.apply({}, start);
        CHECK(limits.at(start).idle_timeout == 20s);
        CHECK_FALSE(limits.at(start).provisional);
    }
    SECTION("a size that a VM has no memory for isn't obeyed")
    {
        limits.apply(limits_of(1'000'000'000, 1'000'000'000'000, 1s, 10s), start);
        CHECK(limits.at(start).max_header_bytes == entry_limits::max_header_bytes);
        CHECK(limits.at(start).max_body_bytes == entry_limits::max_body_bytes);
    }
    SECTION("after the first plan")
    {
        limits.apply(limits_of(500, 2'000, 1s, 10s), start);
        const auto changed = start + 1min;

        SECTION("limits that rise are in force at once")
        {
            limits.apply(limits_of(800, 4'000, 2s, 30s), changed);
            CHECK(limits.at(changed).max_header_bytes == 800);
            CHECK(limits.at(changed).max_body_bytes == 4'000);
            CHECK(limits.at(changed).header_timeout == 2s);
            CHECK(limits.at(changed).idle_timeout == 30s);
        }
        SECTION("limits that fall wait until callers know")
        {
            limits.apply(limits_of(100, 200, 500ms, 2s), changed);
            const auto known = changed + entry_limits::notice_time;
            CHECK(limits.at(known - 1ms).max_body_bytes == 2'000);
            CHECK(limits.at(known - 1ms).idle_timeout == 10s);
            CHECK(limits.at(known).max_header_bytes == 100);
            CHECK(limits.at(known).max_body_bytes == 200);
            CHECK(limits.at(known).header_timeout == 500ms);
            CHECK(limits.at(known).idle_timeout == 2s);
        }
        SECTION("plans in quick succession: each one's callers have the time to follow")
        {
            limits.apply(limits_of(800, 4'000, 2s, 30s), changed);
            limits.apply(limits_of(300, 1'000, 1s, 5s), changed + 1s);
            limits.apply(limits_of(200, 500, 1s, 4s), changed + 2s);
            const auto raised_until = changed + 1s + entry_limits::notice_time;
            CHECK(limits.at(raised_until - 1ms).idle_timeout == 30s);
            CHECK(limits.at(raised_until).idle_timeout == 5s);
            CHECK(limits.at(raised_until + 1s).idle_timeout == 4s);
            CHECK(limits.at(raised_until + 1s).max_body_bytes == 500);
        }
    }
}
