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
        CHECK(events.at_event_end());
    }
}

TEST_CASE("a stream breaks off in the middle of an event")
{
    event_splitter events;
    CHECK(events.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    SECTION("the incomplete event is not returned, and the resumed stream continues after the complete one")
    {
        CHECK(events.last_id() == "1");
        events.begin_run();
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
        events.begin_run();
        CHECK(events.within_size_limit());
        CHECK(events.last_id() == "1");
        CHECK(events.feed("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    }
}

namespace {

/// A splitter whose caller has the events up to `id`.
event_splitter resumed_after(const std::string& id)
{
    event_splitter events;
    events.continue_after(id);
    events.begin_run();
    return events;
}

event_fault fault_after(const std::string& last, const std::string& bytes)
{
    auto events = resumed_after(last);
    events.feed(bytes);
    return events.fault();
}

} // namespace

TEST_CASE("a run that continues a stream passes on only what comes after the last event")
{
    SECTION("ids are compared as numbers behind a fixed text")
    {
        CHECK(fault_after("9", "id: 10\n\n") == event_fault::none);
        CHECK(fault_after("10", "id: 9\n\n") == event_fault::not_after_last);
        CHECK(fault_after("2", "id:2\n\n") == event_fault::not_after_last);
        CHECK(fault_after("007", "id: 8\n\n") == event_fault::none);
        CHECK(fault_after("s-9", "id: s-10\n\n") == event_fault::none);
        CHECK(fault_after("s-9", "id: t-10\n\n") == event_fault::not_after_last);
        CHECK(fault_after("99999999999999999999998", "id: 99999999999999999999999\n\n") == event_fault::none);
        CHECK(fault_after("1", "id: end\n\n") == event_fault::not_after_last);
    }
    SECTION("text and events without id are none of it")
    {
        CHECK(fault_after("2", "data: x\n\n") == event_fault::without_id);
        CHECK(fault_after("2", "id\ndata: x\n\n") == event_fault::without_id);
        CHECK(fault_after("2", "out of memory\n\n") == event_fault::foreign_text);
        CHECK(fault_after("2", "Retry-After: 2\n\n") == event_fault::foreign_text);
        CHECK(fault_after("2", "out of memory\nid: 3\n\n") == event_fault::foreign_text);
        CHECK(fault_after("2", "X-Version: 4\nid: 3\n\n") == event_fault::none);
    }
    SECTION("nothing follows a fault until the next run")
    {
        auto events = resumed_after("2");
        CHECK(events.feed("id: 3\n\nid: 1\n\nid: 4\n\n") == "id: 3\n\n");
        CHECK(events.feed("id: 4\n\n").empty());
        CHECK(events.fault() == event_fault::not_after_last);
        events.begin_run();
        CHECK(events.feed("id: 4\n\n") == "id: 4\n\n");
    }
    SECTION("comments wait for the first event")
    {
        auto events = resumed_after("2");
        CHECK(events.feed(": wait\n\n").empty());
        CHECK(events.feed("id: 3\n\n") == ": wait\n\nid: 3\n\n");
        CHECK(events.feed(": wait\n\n") == ": wait\n\n");
    }
    SECTION("an incomplete event at its end isn't passed on")
    {
        auto events = resumed_after("2");
        events.feed("id: 3\ndata: x\n");
        CHECK(events.finish(true).empty());
        CHECK(events.fault() == event_fault::incomplete_event);
    }
}

TEST_CASE("a stream can be continued only after an event whose place is known")
{
    event_splitter events;
    events.begin_run();
    CHECK(events.continuable());
    events.feed("data: begin\n\n");
    CHECK_FALSE(events.continuable());
    events.feed("id: 1\n\n");
    CHECK(events.continuable());
    events.feed(": comment\n\n");
    CHECK(events.continuable());
    events.feed("id: a\n\n");
    CHECK(events.fault() == event_fault::none);
    CHECK_FALSE(events.continuable());
}

TEST_CASE("the first run of a stream is passed on as it is, unless it goes back or ends in foreign text")
{
    event_splitter events;
    events.begin_run();
    CHECK(events.feed("data: a\n\nid: 1\n\ndata: b\n\n") == "data: a\n\nid: 1\n\ndata: b\n\n");
    SECTION("an incomplete event at its end isn't passed on")
    {
        events.feed("id: 2\ndata: c");
        CHECK(events.finish(true).empty());
        CHECK(events.fault() == event_fault::incomplete_event);
    }
    SECTION("text that isn't declared to be events, and has no field of one, is passed on")
    {
        for (const std::string text : {"done", "{\"a\": 1}\n", "Error: none\n", ": comment"}) {
            event_splitter undeclared;
            undeclared.begin_run();
            const auto passed_on = undeclared.feed(text);
            CHECK(passed_on + undeclared.finish(false) == text);
            CHECK(undeclared.fault() == event_fault::none);
        }
        for (const std::string text :
             {"d", "data", "id: 1", "x-version: 4\nid: 1\n", "done\nretry\n", "id: 1\n\ndone"}) {
            CAPTURE(text);
            event_splitter undeclared;
            undeclared.begin_run();
            undeclared.feed(text);
            CHECK(undeclared.ends_inside_event(false));
            undeclared.finish(false);
            CHECK(undeclared.fault() == event_fault::incomplete_event);
        }
    }
    SECTION("empty lines at its end are")
    {
        const auto passed_on = events.feed("\n");
        CHECK(passed_on + events.finish(true) == "\n");
        CHECK(events.fault() == event_fault::none);
    }
    SECTION("it goes back")
    {
        CHECK(events.feed("id: 1\n\n").empty());
        CHECK(events.fault() == event_fault::not_after_last);
    }
    SECTION("another head follows its events")
    {
        CHECK(events.feed("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n").empty());
        CHECK(events.fault() == event_fault::foreign_text);
    }
}

TEST_CASE("lines end with LF, CR or CRLF, in pieces of any size")
{
    for (const std::string end : {"\n", "\r", "\r\n"}) {
        std::string stream;
        for (const auto* line : {"id: 1", "data: a", "", "id: 2", ""}) {
            stream += line;
            stream += end;
        }
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
