#include "cardamomstream/process/deployment/evacuation.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("a request is shut out when all data centres of its homes are evacuated")
{
    const region_name riga("riga");
    const region_name kurzeme("kurzeme");
    const data_centre_name riga_a("riga-a");
    const data_centre_name riga_b("riga-b");
    const data_centre_name kurzeme_a("kurzeme-a");
    const std::map<data_centre_name, region_name> regions{
        {riga_a, riga}, {riga_b, riga}, {kurzeme_a, kurzeme}};
    const time_point start{100s};
    plan_route route;
    plan_customer customer;
    customer.home_regions = {riga};

    SECTION("not while one of them is open")
    {
        CHECK_FALSE(evacuated_since({{riga_a, start}}, regions, route, &customer));
        CHECK_FALSE(evacuated_since({{riga_a, start}, {kurzeme_a, start}}, regions, route, &customer));
    }
    SECTION("from when the last of them was closed")
    {
        CHECK(evacuated_since({{riga_a, start}, {riga_b, start + 3s}}, regions, route, &customer) ==
              start + 3s);
    }
    SECTION("other regions count where the request is not bound")
    {
        CHECK_FALSE(evacuated_since({{riga_a, start}, {riga_b, start}}, regions, route, nullptr));
        AND_THEN("a route's homes bind as a customer's do")
        {
            route.home_regions = {riga};
            CHECK(evacuated_since({{riga_a, start}, {riga_b, start}}, regions, route, nullptr) == start);
        }
    }
}

TEST_CASE("callers of a closed region come back the later the longer it has been closed")
{
    const time_point since{100s};
    CHECK(evacuation_retry_delay(since, since) == 1s);
    CHECK(evacuation_retry_delay(since, since + 4s) == 4s);
    CHECK(evacuation_retry_delay(since, since + 1h) == 10s);
}
