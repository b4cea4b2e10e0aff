#include "cardamomstream/request/placing/upstream_statements.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("the limit that an upstream states is known")
{
    const upstream_name engine("a");
    const time_point start{1'000s};
    upstream_statements statements;
    CHECK_FALSE(statements.record_limit(engine, 1, {}, start, start));
    CHECK(statements.record_limit(engine, 1, {true, 2.0}, start, start + 1s));
    CHECK(statements.limit(engine) == 2.0);

    SECTION("until an answer without one comes")
    {
        CHECK(statements.record_limit(engine, 1, {}, start + 2s, start + 3s));
        CHECK_FALSE(statements.limit(engine));
    }
    SECTION("also after a slow answer to a request that was sent before it was stated")
    {
        CHECK_FALSE(statements.record_limit(engine, 1, {}, start, start + 3s));
        CHECK(statements.limit(engine) == 2.0);
    }
    SECTION("also after a value that can't be read")
    {
        CHECK_FALSE(statements.record_limit(engine, 1, {false, {}}, start + 2s, start + 3s));
        CHECK(statements.limit(engine) == 2.0);
    }
    SECTION("until the upstream restarts")
    {
        statements.on_listed(engine, 1);
        CHECK(statements.limit(engine) == 2.0);
        statements.on_listed(engine, 2);
        CHECK_FALSE(statements.limit(engine));
    }
}
