#include "answer_meter.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("the tokens of an answer are counted while it passes")
{
    answer_meter meter(10);

    SECTION("one token for each event with content")
    {
        meter.feed_stream("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
        meter.feed_stream("data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\ndata: [DONE]\n\n");
        CHECK(meter.answer_tokens() == 2);
        CHECK(meter.total_tokens() == 12);
        CHECK(meter.done());
    }
    SECTION("an event that is split across parts counts once")
    {
        meter.feed_stream("data: {\"choices\":[{\"del");
        meter.feed_stream("ta\":{\"content\":\"a\"}}]}\n");
        meter.feed_stream("\n");
        CHECK(meter.answer_tokens() == 1);
    }
    SECTION("usage numbers of the upstream replace the estimate")
    {
        meter.feed_body(R"({"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":5}})");
        CHECK(meter.total_tokens() == 12);
    }
    SECTION("lines without an event are not counted")
    {
        meter.feed_stream(": comment\n\nevent: ping\ndata: not json\n\n");
        CHECK(meter.answer_tokens() == 0);
    }
}
