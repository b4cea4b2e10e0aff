#include "cardamomstream/version/service_plan/service_plan.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

plan_route route_of(const std::string& name, const std::string& prefix)
{
    plan_route route;
    route.name = route_name(name);
    route.host = "h.example";
    route.path_prefix = prefix;
    return route;
}

std::shared_ptr<const service_plan> version_of(version_number version)
{
    service_plan_document document;
    document.version = version;
    return std::make_shared<const service_plan>(document);
}

} // namespace

TEST_CASE("a request looks for its route and customer")
{
    service_plan_document document;
    document.routes = {route_of("short", "/a/"), route_of("long", "/a/b/")};
    plan_customer customer;
    customer.name = customer_name("c");
    customer.keys = {"one", "two"};
    document.customers = {customer};
    const service_plan plan(document);

    SECTION("the longest prefix wins")
    {
        CHECK(plan.find_route("h.example", "/a/b/x")->name == route_name("long"));
        CHECK(plan.find_route("h.example", "/a/x")->name == route_name("short"));
    }
    SECTION("a path that only shares letters, or another host, has no route")
    {
        CHECK(plan.find_route("h.example", "/ab") == nullptr);
        CHECK(plan.find_route("other.example", "/a/b/x") == nullptr);
    }
    SECTION("a host in other letters is the same host; a path isn't the same path")
    {
        CHECK(plan.find_route("H.Example", "/a/x")->name == route_name("short"));
        CHECK(plan.find_route("h.example", "/A/x") == nullptr);
    }
    SECTION("either key of the customer names it, another does not")
    {
        CHECK(plan.find_customer_by_key("two")->name == customer_name("c"));
        CHECK(plan.find_customer_by_key("") == nullptr);
    }
}

TEST_CASE("a plan writes a host in capital letters")
{
    service_plan_document document;
    document.routes = {route_of("r", "/a/")};
    document.routes.front().host = "H.Example";
    const service_plan plan(document);
    CHECK(plan.find_route("h.example", "/a/x") != nullptr);
    CHECK(plan.document().routes.front().host == "h.example");
}

// Of three routes that look alike, the homes of another one would send a request to a region that is none.
TEST_CASE(
    "routes with the same path at two hosts, and one below it, keep to their own homes as they swap them")
{
    const region_name riga("riga");
    const region_name kurzeme("kurzeme");
    const auto plan_with = [&](const region_name& first, const region_name& second) {
        service_plan_document document;
        document.routes = {route_of("below", "/x/y/"), route_of("path", "/x/"), route_of("other", "/x/")};
        document.routes[2].host = "g.example";
        document.routes[0].home_regions = {second};
        document.routes[1].home_regions = {first};
        document.routes[2].home_regions = {second};
        return service_plan(document);
    };
    const auto homes_of = [](const service_plan& plan, const char* host, const char* path) {
        return plan.find_route(host, path)->home_regions.front();
    };
    for (const auto& [first, second] : {std::pair{riga, kurzeme}, std::pair{kurzeme, riga}}) {
        const auto plan = plan_with(first, second);
        CHECK(homes_of(plan, "h.example", "/x/1") == first);
        CHECK(homes_of(plan, "h.example", "/x/y") == first); // without the slash that ends a prefix
        CHECK(homes_of(plan, "h.example", "/x/y/") == second);
        CHECK(homes_of(plan, "h.example", "/x/y/z/1") == second);
        CHECK(homes_of(plan, "g.example", "/x/1") == second);
        CHECK(homes_of(plan, "g.example", "/x/y/1") == second);
    }
}

TEST_CASE("homes of the route and of the customer both bind")
{
    auto route = route_of("r", "/");
    plan_customer customer;
    const region_name riga("riga");
    CHECK(may_run_in(riga, route, &customer));
    customer.home_regions = {riga};
    CHECK(may_run_in(riga, route, &customer));
    route.home_regions = {region_name("kurzeme")};
    CHECK_FALSE(may_run_in(riga, route, &customer));
    CHECK_FALSE(may_run_in(region_name("kurzeme"), route, &customer));
}

TEST_CASE("plans come from any source in any order")
{
    plan_in_force force;
    CHECK(force.offer(version_of(4)));
    CHECK(force.offer(version_of(9)));
    SECTION("one that is not newer never takes the place of the one in force")
    {
        CHECK_FALSE(force.offer(version_of(9)));
        CHECK_FALSE(force.offer(version_of(4)));
        CHECK_FALSE(force.offer(nullptr));
        CHECK(force.get()->version() == 9);
    }
}
