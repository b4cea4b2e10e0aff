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
    SECTION("either key of the customer names it, another does not")
    {
        CHECK(plan.find_customer_by_key("two")->name == customer_name("c"));
        CHECK(plan.find_customer_by_key("") == nullptr);
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
