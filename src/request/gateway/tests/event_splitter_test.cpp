#include "cardamomstream/request/gateway/event_splitter.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("a stream arrives in pieces of any size")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (std::size_t size = 1; size < stream.size(); ++size) {
        event_splitter events;
        std::string out;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            out += events.take(stream.substr(at, size));
        }
        CHECK(out == stream);
        CHECK(events.last_id() == "3");
        CHECK(events.rest().empty());
    }
}

TEST_CASE("a run breaks off in the middle of an event")
{
    event_splitter events;
    CHECK(events.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    SECTION("the half event is not given out, and the next run goes on after the whole one")
    {
        CHECK(events.last_id() == "1");
        events.drop_rest();
        CHECK(events.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
        CHECK(events.last_id() == "2");
    }
}

TEST_CASE("bytes without an event's end come on and on")
{
    event_splitter events;
    CHECK(events.take("id: 1\ndata: a\n\n") == "id: 1\ndata: a\n\n");
    const std::string part(16 * 1024, 'x');
    std::size_t taken = 0;
    while (events.may_go_on() && taken < 10 * event_splitter::max_event_bytes) {
        CHECK(events.take(part).empty());
        taken += part.size();
    }
    CHECK(taken <= event_splitter::max_event_bytes + part.size());

    SECTION("another run goes on after the last whole event")
    {
        events.drop_rest();
        CHECK(events.may_go_on());
        CHECK(events.last_id() == "1");
        CHECK(events.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    }
}
