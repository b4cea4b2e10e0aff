#include "cardamomstream/request/gateway/gateway_types.h"
#include "cardamomstream/request/gateway/hop_headers.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("hop-by-hop headers are not forwarded")
{
    const std::vector<http_header> headers{
        {"Host", "h"},       {"Connection", "close, X-One"},   {"X-One", "1"},         {"x-two", "2"},
        {"Keep-Alive", "5"}, {"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}};
    const auto kept = end_to_end_headers(headers);
    REQUIRE(kept.size() == 2);
    CHECK(kept[0].name == "Host");
    CHECK(kept[1].name == "x-two");
}

TEST_CASE("a request is passed on to another VM")
{
    std::vector<http_header> headers{{"Host", "h"}};
    CHECK_FALSE(read_hop_headers(headers));
    write_hop_headers(headers, {route_name("r"), pool_name("s"), customer_name("c"), 2,
                                std::chrono::milliseconds{120}, "v1"});
    SECTION("which reads the hop headers")
    {
        const auto hop = read_hop_headers(headers);
        REQUIRE(hop);
        CHECK(hop->route == route_name("r"));
        CHECK(hop->customer == customer_name("c"));
        CHECK(hop->version == "v1");
        CHECK(hop->urgency == 2);
        CHECK(hop->waited == std::chrono::milliseconds{120});
    }
    SECTION("and removes them before it calls the upstream")
    {
        remove_hop_headers(headers);
        CHECK(headers.size() == 1);
    }
}

// The log line of a request that no region may serve looked like that of one without homes.
TEST_CASE("the log tells homes that leave no region from no homes")
{
    const std::set<region_name> regions{region_name("kurzeme"), region_name("riga")};
    CHECK(describe_homes(regions, regions).empty());
    CHECK(describe_homes(regions, {region_name("riga")}) == "riga");
    CHECK(describe_homes(regions, {}) == "none");
}
