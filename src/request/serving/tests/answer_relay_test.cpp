#include "answer_relay.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

/// A response whose body comes in one part.
class one_part_source {
public:
    one_part_source(http_response_head head, std::string body)
        : m_head(std::move(head))
        , m_body(std::move(body))
    {
    }

    const http_response_head& head() const { return m_head; }
    result<std::optional<std::string>> next() { return std::exchange(m_body, std::nullopt); }

private:
    http_response_head m_head;
    std::optional<std::string> m_body;
};

static_assert(response_source<one_part_source>);

result<std::string> read(unsigned status, const std::string& type, const std::string& body)
{
    one_part_source source({status, {{"Content-Type", type}}}, body);
    return read_body(source);
}

} // namespace

// The kept answer of a call that runs once was half a stream.
TEST_CASE("a stream that is read whole is no success when it ends inside an event")
{
    const std::string event = "data: x\n\n";
    CHECK(read(200, "text/event-stream", event).value() == event);
    for (const auto* type : {"text/event-stream", "Text/Event-Stream; charset=utf-8"}) {
        const auto half = read(200, type, event + "data: y\n");
        REQUIRE_FALSE(half);
        CHECK(half.error().kind == error_kind::upstream_failed);
        CHECK(half.error().outcome == run_outcome::unknown);
    }
    SECTION("other bodies and failures are read as they are")
    {
        CHECK(read(200, "text/plain", "data: y\n").value() == "data: y\n");
        CHECK(read(404, "text/event-stream", "none").value() == "none");
    }
}
