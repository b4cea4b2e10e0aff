#include "cardamomstream/request/admission_hedge.h"
#include "cardamomstream/request/admission_retry_budget.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("a retry is allowed only if it is safe and can meet the deadline")
{
    retry_budget budget{{}};
    std::mt19937_64 random{3};
    const time_point now{1h};
    retry_query failed;
    failed.deadline = now + 10s;

    SECTION("an idempotent call is retried after a jittered backoff")
    {
        const auto decision = budget.next(failed, now, random);
        CHECK(decision.verdict == retry_verdict::allowed);
        CHECK(decision.at >= now + 12ms);
        CHECK(decision.at <= now + 25ms);
    }
    SECTION("a call that may have run and is not idempotent is not retried")
    {
        failed.repeat = repeat_policy::at_most_once;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::may_have_run);
        AND_THEN("it is retried if it did not run")
        {
            failed.outcome = run_outcome::not_run;
            CHECK(budget.next(failed, now, random).verdict == retry_verdict::allowed);
        }
    }
    SECTION("a call is not retried once a response has begun")
    {
        failed.answer_begun = true;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::answer_begun);
    }
    SECTION("the number of attempts and the deadline limit retries")
    {
        failed.attempts_made = 3;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::attempts_used);
        failed.attempts_made = 1;
        failed.min_attempt_duration = 10s;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::deadline_too_near);
    }
}

TEST_CASE("retries stay a fraction of the traffic when every attempt fails")
{
    retry_budget budget{{}};
    std::mt19937_64 random{3};
    const time_point now{1h};
    retry_query failed;
    failed.deadline = now + 10s;
    int retries = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.on_request();
        retries += budget.next(failed, now, random).verdict == retry_verdict::allowed ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 110);
    CHECK(budget.next(failed, now, random).verdict == retry_verdict::budget_exhausted);

    SECTION("an attempt that reached nobody is no load, so that another one is allowed")
    {
        failed.outcome = run_outcome::not_run;
        failed.reached_nobody = true;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::allowed);
        failed.reached_nobody = false;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::budget_exhausted);
    }
}

TEST_CASE("only idempotent calls are hedged, up to a fraction of the traffic")
{
    hedge_policy hedges{{}};
    CHECK_FALSE(hedges.try_hedge(repeat_policy::idempotent));
    int hedged = 0;
    for (int i = 0; i < 1'000; ++i) {
        hedges.on_request();
        CHECK_FALSE(hedges.try_hedge(repeat_policy::at_most_once));
        hedged += hedges.try_hedge(repeat_policy::idempotent) ? 1 : 0;
    }
    CHECK(hedged >= 49);
    CHECK(hedged <= 50);
    CHECK(hedges.delay(200ms) == 600ms);
    CHECK(hedges.delay(0ms) == 300ms);
}
