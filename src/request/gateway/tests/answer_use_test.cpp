#include "cardamomstream/request/gateway/answer_use.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

answer_use use_of(unsigned status, const std::string& type, const answer_query& query,
                  const std::string& encoding = "")
{
    http_response_head head{status, {}};
    if (!type.empty()) {
        head.headers.push_back({"content-type", type});
    }
    if (!encoding.empty()) {
        head.headers.push_back({"content-encoding", encoding});
    }
    return decide_answer_use(head, query).use;
}

constexpr answer_query plain_route{};
constexpr answer_query new_stream{true, false, false};
constexpr answer_query taken_up{true, true, false};
constexpr answer_query begun_stream{true, true, true};

} // namespace

TEST_CASE("only a success that may hold events continues a stream")
{
    for (const auto& query : {taken_up, begun_stream}) {
        CHECK(use_of(200, "text/event-stream", query) == answer_use::stream);
        CHECK(use_of(200, "Text/Event-Stream ; charset=utf-8", query) == answer_use::stream);
        CHECK(use_of(200, "", query) == answer_use::stream);
        CHECK(use_of(200, "text/plain", query) == answer_use::none);
        CHECK(use_of(200, "text/event-streams", query) == answer_use::none);
        CHECK(use_of(206, "text/event-stream", query) == answer_use::none);
        CHECK(use_of(204, "", query) == answer_use::none);
        CHECK(use_of(200, "text/event-stream", query, "gzip") == answer_use::none);
    }
    SECTION("a failure is the answer, unless the stream has begun in this one")
    {
        CHECK(use_of(500, "text/plain", taken_up) == answer_use::plain);
        CHECK(use_of(500, "text/plain", begun_stream) == answer_use::none);
        CHECK(use_of(302, "text/event-stream", begun_stream) == answer_use::none);
    }
}

TEST_CASE("a first answer is a stream, a plain answer, or not the upstream's")
{
    CHECK(use_of(200, "text/event-stream", new_stream) == answer_use::stream);
    CHECK(use_of(200, "", new_stream) == answer_use::stream);
    CHECK(use_of(200, "application/json", new_stream) == answer_use::plain);
    CHECK(use_of(500, "text/event-stream", new_stream) == answer_use::plain);
    CHECK(use_of(200, "text/event-stream", plain_route) == answer_use::plain);
    for (const auto& query : {plain_route, new_stream}) {
        CHECK(use_of(200, "", query, "gzip") == answer_use::none);
        CHECK(use_of(500, "", query, "gzip") == answer_use::plain);
    }
}
