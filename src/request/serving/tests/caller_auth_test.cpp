#include "caller_auth.h"

#include <algorithm>
#include <memory>

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

const std::string key = "cs-demo-carrier";

fleet_view view_with_key()
{
    rules published;
    published.customers[customer_name{"carrier"}] = {};
    published.keys[key_name{"carrier-1"}] = {customer_name{"carrier"}, digest_of(key)};
    fleet_view view;
    view.rules = std::make_shared<const rules>(published);
    view.keys = std::make_shared<const key_index>(published);
    return view;
}

http_request request_with(std::string authorization)
{
    return {"GET", "/filing/status", {{"Authorization", std::move(authorization)}}, {}};
}

} // namespace

TEST_CASE("a caller is known by its key")
{
    const auto view = view_with_key();

    SECTION("a published key identifies its customer")
    {
        const auto caller = authenticate(request_with("Bearer " + key), view);
        REQUIRE(caller);
        CHECK(caller.value()->customer == customer_name{"carrier"});
    }
    SECTION("without the header there is no customer")
    {
        const auto caller = authenticate({"GET", "/", {}, {}}, view);
        REQUIRE(caller);
        CHECK_FALSE(caller.value());
    }
    SECTION("an unknown key is refused")
    {
        CHECK(authenticate(request_with("Bearer cs-demo-other"), view).error().kind ==
              error_kind::unauthenticated);
    }
    SECTION("two headers are refused")
    {
        auto request = request_with("Bearer " + key);
        request.headers.push_back({"authorization", "Bearer " + key});
        CHECK(authenticate(request, view).error().kind == error_kind::unauthenticated);
    }
    SECTION("another scheme is refused")
    {
        CHECK(authenticate(request_with("Basic " + key), view).error().kind == error_kind::unauthenticated);
    }
}

TEST_CASE("a key never goes on to an upstream")
{
    const auto view = view_with_key();
    auto request = request_with("Bearer " + key);

    SECTION("in the query")
    {
        request.target += "?key=" + key;
        CHECK(authenticate(request, view).error().kind == error_kind::invalid_request);
    }
    SECTION("percent-encoded in the query")
    {
        request.target += "?key=cs%2Ddemo%2Dcarrier";
        CHECK(authenticate(request, view).error().kind == error_kind::invalid_request);
    }
    SECTION("in the body")
    {
        request.body = "{\"note\":\"" + key + "\"}";
        CHECK(authenticate(request, view).error().kind == error_kind::invalid_request);
    }
    SECTION("in headers")
    {
        request.headers.push_back({"Cookie", "key=" + key});
        request.headers.push_back({"Accept", key});
        request.headers.push_back({"Content-Type", "application/json"});
        const auto headers = upstream_headers(request, request_id{"r-1"});
        CHECK(std::none_of(headers.begin(), headers.end(),
                           [](const auto& header) { return header.value.find(key) != std::string::npos; }));
        CHECK(header_value(headers, "Content-Type") == "application/json");
    }
}
