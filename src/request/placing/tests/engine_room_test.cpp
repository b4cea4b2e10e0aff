#include "cardamomstream/request/placing/engine_room.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

constexpr token_count long_prompt = 12'000;
constexpr int urgent = 0;
constexpr int least_urgent = 9;

/// An engine of 24 slots with so many requests.
engine_occupancy engine_with(double running, token_count memory_used = 0)
{
    return {24, running, 360'000, memory_used};
}

} // namespace

// A jump of urgent requests was sent to engines that were full: each displaced a running stream, whose long
// prompt was read again, until most of the engines' time went into that.
TEST_CASE("a burst of demand meets engines that run 24 requests at once")
{
    SECTION("a fifth of the slots is left for what other VMs send meanwhile")
    {
        CHECK(has_room(engine_with(18), {urgent, long_prompt}));
        CHECK_FALSE(has_room(engine_with(19), {urgent, long_prompt}));
    }
    SECTION("the less urgent a request, the more slots it leaves free")
    {
        CHECK(has_room(engine_with(16), {1, long_prompt}));
        CHECK_FALSE(has_room(engine_with(17), {1, long_prompt}));
        CHECK(has_room(engine_with(15), {2, long_prompt}));
        CHECK_FALSE(has_room(engine_with(16), {2, long_prompt}));
    }
    SECTION("but never more than a fifth of these")
    {
        CHECK(has_room(engine_with(14), {least_urgent, long_prompt}));
        CHECK_FALSE(has_room(engine_with(15), {least_urgent, long_prompt}));
    }
    SECTION("one whose answer the memory doesn't hold to its end is not sent")
    {
        CHECK(has_room(engine_with(10, 380'000), {urgent, long_prompt}));
        CHECK_FALSE(has_room(engine_with(10, 390'000), {urgent, long_prompt}));
        CHECK(has_room(engine_with(10, 390'000), {urgent, 600}));
    }
    SECTION("an engine whose memory isn't stated is judged by its slots")
    {
        CHECK(has_room({24, 10, 0, 390'000}, {urgent, long_prompt}));
    }
    SECTION("an idle engine takes any request: if it is too large, the engine says so")
    {
        CHECK(has_room(engine_with(0), {least_urgent, 1'000'000}));
    }
}
