#include "run_evidence.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

error failure(run_outcome outcome)
{
    return {error_kind::upstream_unavailable, "no connection", "try again", outcome, {}};
}

} // namespace

TEST_CASE("a request that may have run is never reported as not run")
{
    run_evidence evidence;

    SECTION("as long as no attempt may have run, it has not run")
    {
        CHECK(evidence.record_failure(failure(run_outcome::not_run)).outcome == run_outcome::not_run);
        CHECK(evidence.record_failure(failure(run_outcome::not_run)).outcome == run_outcome::not_run);

        SECTION("an attempt whose outcome is unknown ends that")
        {
            CHECK(evidence.record_failure(failure(run_outcome::unknown)).outcome == run_outcome::unknown);

            SECTION("and a later attempt that certainly has not run doesn't bring it back")
            {
                const auto last = evidence.record_failure(failure(run_outcome::not_run));
                CHECK(last.outcome == run_outcome::unknown);
                CHECK(last.kind == error_kind::upstream_unavailable);
                CHECK(last.message == "no connection");
            }
        }
    }
    SECTION("an answer that has begun and then failed may have run")
    {
        evidence.record_answer();
        CHECK(evidence.record_failure(failure(run_outcome::not_run)).outcome == run_outcome::unknown);
    }
}
