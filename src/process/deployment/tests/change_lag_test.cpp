#include "cardamomstream/process/deployment/change_lag.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("the other VMs know of a change that the own watch has not brought")
{
    const time_point start{1'000s};
    change_lag lag;
    lag.know(10);
    REQUIRE_FALSE(lag.hear(10, start));
    REQUIRE_FALSE(lag.hear(12, start));

    SECTION("it comes a moment later: the watch goes on")
    {
        lag.know(12);
        CHECK_FALSE(lag.hear(12, start + 1s));
        CHECK(lag.known() == 12);
    }
    SECTION("it does not come: the store is asked anew, once")
    {
        CHECK_FALSE(lag.hear(12, start + 300ms));
        CHECK(lag.hear(12, start + 950ms));
        CHECK_FALSE(lag.hear(13, start + 1'100ms));
        SECTION("and again when that was of no use, as on a slow store")
        {
            CHECK(lag.hear(13, start + 4s));
        }
        SECTION("a later change has its own time to arrive")
        {
            lag.know(13);
            CHECK_FALSE(lag.hear(14, start + 4s));
            CHECK(lag.hear(14, start + 5s));
        }
    }
}
