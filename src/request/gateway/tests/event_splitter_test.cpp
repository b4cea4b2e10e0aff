#include "cardamomstream/request/gateway/event_splitter.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("bytes that are passed on unsplit end at an event's end, or inside one")
{
    event_splitter events;
    CHECK(events.at_event_end());
    CHECK(events.pass_over("id: 1\n") == "id: 1\n");
    CHECK_FALSE(events.at_event_end());
    events.pass_over("\n");
    CHECK(events.at_event_end());
    events.pass_over("id: 2\n\nid: 3");
    CHECK_FALSE(events.at_event_end());
    events.pass_over("\n");
    events.pass_over("d");
    events.pass_over("\n");
    CHECK_FALSE(events.at_event_end());
}

TEST_CASE("a stream arrives in pieces of any size")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (std::size_t size = 1; size < stream.size(); ++size) {
        event_splitter events;
        std::string out;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            out += events.feed(stream.substr(at, size));
        }
        CHECK(out == stream);
        CHECK(events.last_id() == "3");
        CHECK(events.partial_event().empty());
    }
}

TEST_CASE("a stream breaks off in the middle of an event")
{
    event_splitter events;
    CHECK(events.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    SECTION("the incomplete event is not returned, and the resumed stream continues after the complete one")
    {
        CHECK(events.last_id() == "1");
        events.discard_partial();
        CHECK(events.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
        CHECK(events.last_id() == "2");
    }
}

TEST_CASE("an event is endless")
{
    event_splitter events;
    CHECK(events.feed("id: 1\ndata: a\n\n") == "id: 1\ndata: a\n\n");
    const std::string part(16 * 1024, 'x');
    std::size_t taken = 0;
    while (events.within_size_limit() && taken < 10 * event_splitter::max_event_bytes) {
        CHECK(events.feed(part).empty());
        taken += part.size();
    }
    CHECK(taken <= event_splitter::max_event_bytes + part.size());

    SECTION("a resumed stream continues after the last complete event")
    {
        events.discard_partial();
        CHECK(events.within_size_limit());
        CHECK(events.last_id() == "1");
        CHECK(events.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    }
}

TEST_CASE("lines end with LF, CR or CRLF, in pieces of any size")
{
    for (const std::string end : {"\n", "\r", "\r\n"}) {
        const std::string stream = "id: 1" + end + "data: a" + end + end + "id: 2" + end + end;
        for (std::size_t size = 1; size < stream.size(); ++size) {
            event_splitter split;
            event_splitter passed;
            std::string out;
            for (std::size_t at = 0; at < stream.size(); at += size) {
                out += split.feed(stream.substr(at, size));
                passed.pass_over(stream.substr(at, size));
            }
            CHECK(out == stream);
            CHECK(split.last_id() == "2");
            CHECK(split.at_event_end());
            CHECK(passed.at_event_end());
            passed.pass_over("id: 3" + end);
            CHECK_FALSE(passed.at_event_end());
        }
    }
}
