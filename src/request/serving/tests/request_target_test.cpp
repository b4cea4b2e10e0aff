#include "request_target.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("a request finds its target")
{
    rules published;
    published.routes[route_name{"filing"}].path = "/filing";
    published.routes[route_name{"status"}].path = "/filing/status";
    published.routes[route_name{"submit"}].path = "/filing/submissions";
    published.routes[route_name{"submit"}].methods = {"POST"};
    const auto route_of = [&](const std::string& method, const std::string& target) {
        const auto found = find_target({method, target, {}, {}}, published);
        if (!found || !std::holds_alternative<route_target>(found.value())) {
            return std::string{};
        }
        return std::get<route_target>(found.value()).name.str();
    };

    SECTION("the longest path wins")
    {
        CHECK(route_of("GET", "/filing/status/7?x=1") == "status");
    }
    SECTION("a path matches whole segments only")
    {
        CHECK(route_of("GET", "/filing/statuses") == "filing");
    }
    SECTION("a route that does not accept the method is skipped")
    {
        CHECK(route_of("GET", "/filing/submissions") == "filing");
    }
    SECTION("dot segments cannot lead out of a route")
    {
        CHECK(route_of("GET", "/filing/../secret").empty());
    }
    SECTION("encoded dot segments cannot either")
    {
        CHECK(route_of("GET", "/filing/%2e%2e/secret").empty());
    }
    SECTION("another spelling of an at-most-once path does not match another route")
    {
        CHECK(route_of("POST", "/filing/%73ubmissions") == "submit");
        const std::string spelling =
            GENERATE(as<std::string>{}, "/filing/./submissions", "/filing//submissions",
                     "/filing/x/../submissions", "/filing/x%2f..%2fsubmissions");
        CHECK(find_target({"POST", spelling, {}, {}}, published).error().kind == error_kind::invalid_request);
    }
    SECTION("an unknown path is not found")
    {
        CHECK(find_target({"GET", "/nothing", {}, {}}, published).error().kind == error_kind::not_found);
    }
    SECTION("a malformed target is refused")
    {
        CHECK(find_target({"GET", "nothing", {}, {}}, published).error().kind == error_kind::invalid_request);
    }
}
