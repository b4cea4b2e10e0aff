#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("an error tells its reader what to do")
{
    const error value{
        error_kind::not_found, "model \"m\" does not exist", "list the models with GET /v1/models", {}, {}};

    SECTION("its line holds message and remedy")
    {
        CHECK(describe(value) == "model \"m\" does not exist; list the models with GET /v1/models");
    }
    SECTION("its code is stable")
    {
        CHECK(code_of(value.kind) == "not_found");
    }
}

TEST_CASE("the boot clock never runs backwards")
{
    const auto first = boot_clock::now();
    const auto second = boot_clock::now();
    CHECK(second >= first);
}
