#include "cardamomstream/connection/http_types.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("a parameter of the query is found by its whole name")
{
    http_request request;
    request.target = "/entry?name=a%20b&ame=c&empty=&flag&last=d=e";

    CHECK(request.query_parameter("name") == "a%20b");
    CHECK(request.query_parameter("ame") == "c");
    CHECK(request.query_parameter("last") == "d=e");
    SECTION("one without a value or that is missing is empty")
    {
        CHECK(request.query_parameter("empty").empty());
        CHECK(request.query_parameter("flag").empty());
        CHECK(request.query_parameter("other").empty());
        request.target = "/entry";
        CHECK(request.query_parameter("name").empty());
    }
}
