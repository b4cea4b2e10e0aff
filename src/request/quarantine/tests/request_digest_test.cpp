#include "cardamomstream/request/quarantine/request_digest.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("requests are the same when method, path, caller and body are")
{
    const customer_name caller("c");
    const http_request request{"POST", "/a?x=1", {{"X-Any", "9c"}}, "body"};
    const auto digest = request_digest_of(request, caller);

    SECTION("whatever their headers, and the query beside a body")
    {
        CHECK(request_digest_of({"POST", "/a?x=2", {}, "body"}, caller) == digest);
    }
    SECTION("without a body the query is the content")
    {
        CHECK(request_digest_of({"GET", "/a?x=1", {}, ""}, caller) !=
              request_digest_of({"GET", "/a?x=2", {}, ""}, caller));
    }
    SECTION("not when one of them differs, or text moves from one to the next")
    {
        CHECK(request_digest_of({"PUT", "/a", {}, "body"}, caller) != digest);
        CHECK(request_digest_of({"POST", "/b", {}, "body"}, caller) != digest);
        CHECK(request_digest_of({"POST", "/a", {}, "bodies"}, caller) != digest);
        CHECK(request_digest_of(request, customer_name("d")) != digest);
        CHECK(request_digest_of({"POST", "/ac", {}, "body"}, customer_name("")) != digest);
    }
}
