#include "cardamomstream/request/placing/upstream_statements.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("the limit that an upstream states is known")
{
    const upstream_name engine("a");
    const time_point start{1'000s};
    upstream_statements statements;
    CHECK_FALSE(statements.record_limit(engine, 1, {}, start, start));
    CHECK(statements.record_limit(engine, 1, {true, 2.0}, start, start + 1s));
    CHECK(statements.limit(engine) == 2.0);

    SECTION("until an answer without one comes")
    {
        CHECK(statements.record_limit(engine, 1, {}, start + 2s, start + 3s));
        CHECK_FALSE(statements.limit(engine));
    }
    SECTION("also after a slow answer to a request that was sent before it was stated")
    {
        CHECK_FALSE(statements.record_limit(engine, 1, {}, start, start + 3s));
        CHECK(statements.limit(engine) == 2.0);
    }
    SECTION("also after a value that can't be read")
    {
        CHECK_FALSE(statements.record_limit(engine, 1, {false, {}}, start + 2s, start + 3s));
        CHECK(statements.limit(engine) == 2.0);
    }
    SECTION("until the upstream restarts")
    {
        statements.on_listed(engine, 1);
        CHECK(statements.limit(engine) == 2.0);
        statements.on_listed(engine, 2);
        CHECK_FALSE(statements.limit(engine));
    }
}

TEST_CASE("a limit is learnt from the reports of other VMs")
{
    const upstream_name engine("a");
    const time_point start{1'000s};
    upstream_statements statements;
    statements.apply_reported({{engine, 1, 2.0, 100ms}}, start);
    CHECK(statements.limit(engine) == 2.0);

    SECTION("the newest answer counts, whoever received it")
    {
        statements.apply_reported({{engine, 1, std::nullopt, 300ms}}, start + 100ms);
        CHECK(statements.limit(engine) == 2.0);
        statements.apply_reported({{engine, 1, 5.0, 0ms}}, start + 1s);
        CHECK(statements.limit(engine) == 5.0);
        statements.apply_reported({{engine, 1, std::nullopt, 0ms}}, start + 2s);
        CHECK_FALSE(statements.limit(engine));
    }
    SECTION("and is not reported again by a VM that received no such answer")
    {
        CHECK(statements.own_limits(start + 1s).empty());
    }
    SECTION("unless it is that of an earlier process of the upstream")
    {
        statements.on_listed(engine, 2);
        CHECK_FALSE(statements.limit(engine));
        statements.record_limit(engine, 2, {true, 7.0}, start, start + 1s);
        statements.apply_reported({{engine, 1, 2.0, 0ms}}, start + 2s);
        CHECK(statements.limit(engine) == 7.0);
    }
}

TEST_CASE("a VM reports the limits that were stated to it, and their end")
{
    const upstream_name engine("a");
    const time_point start{1'000s};
    upstream_statements statements;
    statements.record_limit(engine, 1, {true, 2.0}, start, start);
    const auto limited = statements.own_limits(start + 3s);
    REQUIRE(limited.size() == 1);
    CHECK(limited[0].requests_per_second == 2.0);
    CHECK(limited[0].age == 3s);

    statements.record_limit(engine, 1, {}, start + 4s, start + 5s);
    const auto ended = statements.own_limits(start + 6s);
    REQUIRE(ended.size() == 1);
    CHECK_FALSE(ended[0].requests_per_second);
    CHECK(ended[0].age == 2s);
    CHECK(statements.own_limits(start + 60s).empty());
}

TEST_CASE("very many upstreams state limits: those stated last are reported")
{
    const time_point start{1'000s};
    upstream_statements statements;
    for (int number = 0; number < 1'000; ++number) {
        const auto at = start + std::chrono::milliseconds(number);
        statements.record_limit(upstream_name(std::to_string(number)), 1, {true, 2.0}, at, at);
    }
    const auto reported = statements.own_limits(start + 1s);
    CHECK(reported.size() == 256);
    for (const auto& limit : reported) {
        CHECK(limit.age <= 256ms);
    }
}

TEST_CASE("a share of a limit is sent at its rate")
{
    const upstream_name engine("a");
    time_point now{1'000s};
    upstream_statements statements;
    statements.record_limit(engine, 1, {true, 100.0}, now, now);
    const auto rate = GENERATE(0.2, 0.7, 1.0, 1.9, 16.7);
    CAPTURE(rate);
    int sent = 0;
    int at_once = 0;
    for (const auto start = now; now < start + 60s; now += 10ms) {
        while (statements.time_until_send(engine, rate, now) == 0ms) {
            statements.count_send(engine, now);
            sent += 1;
            at_once += now == start ? 1 : 0;
        }
    }
    CHECK(at_once <= rate + 1);
    CHECK(sent <= rate * 60 + at_once);
    CHECK(sent >= rate * 60 * 0.95);
}

TEST_CASE("the pause that an upstream asks for is kept")
{
    const upstream_name engine("a");
    const time_point start{1'000s};
    upstream_statements statements;
    statements.record_pause(engine, 1, 3s, start, start);
    CHECK(statements.pause_left(engine, start + 1s) == 2s);
    (void)statements.own_limits(start + 1s);
    CHECK(statements.pause_left(engine, start + 1s) == 2s);

    SECTION("whatever shorter one comes later")
    {
        statements.record_pause(engine, 1, 10ms, start + 1s, start + 1s);
        CHECK(statements.pause_left(engine, start + 1s) == 2s);
    }
    SECTION("whatever answer to an earlier request comes later")
    {
        statements.record_pause(engine, 1, std::nullopt, start - 1s, start + 1s);
        CHECK(statements.pause_left(engine, start + 1s) == 2s);
    }
    SECTION("then requests are sent one by one until an answer comes")
    {
        const auto end = start + 3s;
        CHECK(statements.pause_left(engine, end) == 0s);
        statements.count_send(engine, end);
        CHECK(statements.pause_left(engine, end) > 0s);
        statements.record_pause(engine, 1, std::nullopt, end, end + 100ms);
        CHECK(statements.pause_left(engine, end + 100ms) == 0s);
        statements.count_send(engine, end + 100ms);
        CHECK(statements.pause_left(engine, end + 100ms) == 0s);
    }
    SECTION("until the upstream restarts")
    {
        statements.on_listed(engine, 2);
        CHECK(statements.pause_left(engine, start + 1s) == 0s);
    }
    SECTION("an endless one is tested now and then")
    {
        statements.record_pause(engine, 1, 1'000'000h, start, start);
        CHECK(statements.pause_left(engine, start + 30s) > 0s);
        CHECK(statements.pause_left(engine, start + 60s) == 0s);
        statements.count_send(engine, start + 60s);
        CHECK(statements.pause_left(engine, start + 60s) > 0s);
    }
}

TEST_CASE("an upstream that is leaving is known until it restarts")
{
    const upstream_name engine("a");
    const time_point start{1'000s};
    upstream_statements statements;
    CHECK(statements.record_leaving(engine, 1, start));
    CHECK_FALSE(statements.record_leaving(engine, 1, start));
    (void)statements.own_limits(start + 2h);
    CHECK(statements.is_leaving(engine));
    statements.begin_listing(); // it is not in the list any more
    (void)statements.own_limits(start + 10min);
    CHECK(statements.is_leaving(engine));
    statements.on_listed(engine, 2);
    CHECK_FALSE(statements.is_leaving(engine));
}
