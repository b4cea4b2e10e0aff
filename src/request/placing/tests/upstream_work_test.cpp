#include "cardamomstream/request/placing/upstream_work.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const upstream_name engine("i-1");

} // namespace

// Engines on shared machines take 2.5 times as long for moments: prompts that were sent there then held up
// all streams beyond the pause that their callers bear.
TEST_CASE("an upstream states that work takes longer for a moment")
{
    const time_point start{1h};
    upstream_work here;
    here.record(engine, 1, 250, start);

    SECTION("it counts at once, and for a short time")
    {
        CHECK(here.factor(engine, start) == 2.5);
        CHECK(here.factor(engine, start + 599ms) == 2.5);
        CHECK(here.factor(engine, start + 600ms) == 1);
        CHECK(here.factor(upstream_name("i-2"), start) == 1);
    }
    SECTION("the other VMs learn of it, and that it is over")
    {
        upstream_work there;
        there.apply_reported(here.own(start + 100ms), start + 120ms);
        CHECK(there.factor(engine, start + 120ms) == 2.5);

        there.record(engine, 1, 100, start + 200ms);
        CHECK(there.factor(engine, start + 200ms) == 1);
        here.apply_reported(there.own(start + 210ms), start + 220ms);
        CHECK(here.factor(engine, start + 220ms) == 1);

        SECTION("an older statement that comes later changes nothing")
        {
            here.apply_reported({{engine, 1, 250, 100ms}}, start + 230ms);
            CHECK(here.factor(engine, start + 230ms) == 1);
        }
    }
    SECTION("what was learnt from others is not reported again, nor what is over long ago")
    {
        upstream_work there;
        there.apply_reported(here.own(start), start);
        CHECK(there.own(start).empty());
        CHECK(here.own(start + 600ms).empty());
        here.expire(start + 2s);
        CHECK(here.factor(engine, start) == 1);
    }
}

TEST_CASE("an upstream that works as usual")
{
    const time_point start{1h};
    upstream_work here;

    SECTION("costs no report")
    {
        here.record(engine, 1, 100, start);
        CHECK(here.own(start).empty());
    }
    SECTION("gains nothing by claiming to be faster")
    {
        here.record(engine, 1, 1, start);
        CHECK(here.factor(engine, start) == 1);
    }
}
