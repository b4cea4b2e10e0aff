#include "cardamomstream/process/deployment/evacuation.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("a request is refused when all data centres of its home regions are evacuated")
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
    SECTION("since the last of them was evacuated")
    {
        CHECK(evacuated_since({{riga_a, start}, {riga_b, start + 3s}}, regions, route, &customer) ==
              start + 3s);
    }
    SECTION("other regions count when the request has no home regions")
    {
        CHECK_FALSE(evacuated_since({{riga_a, start}, {riga_b, start}}, regions, route, nullptr));
        AND_THEN("a route's home regions restrict it like a customer's")
        {
            route.home_regions = {riga};
            CHECK(evacuated_since({{riga_a, start}, {riga_b, start}}, regions, route, nullptr) == start);
        }
    }
}

TEST_CASE("the retry delay grows with the time that the evacuation has lasted")
{
    const time_point since{100s};
    CHECK(evacuation_retry_delay(since, since) == 1s);
    CHECK(evacuation_retry_delay(since, since + 4s) == 4s);
    CHECK(evacuation_retry_delay(since, since + 1h) == 10s);
}
