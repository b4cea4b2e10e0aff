#include "cardamomstream/request/admission_hedge.h"
#include "cardamomstream/request/admission_retry_budget.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("a retry is made only where it is safe and worth it")
{
    retry_budget budget{{}};
    std::mt19937_64 random{3};
    const time_point now{1h};
    retry_query failed;
    failed.deadline = now + 10s;

    SECTION("an idempotent call is tried again after a jittered backoff")
    {
        const auto decision = budget.next(failed, now, random);
        CHECK(decision.verdict == retry_verdict::allowed);
        CHECK(decision.at >= now + 12ms);
        CHECK(decision.at <= now + 25ms);
    }
    SECTION("a call that may have run and may not be repeated is not tried again")
    {
        failed.repeat = repeat_policy::at_most_once;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::may_have_run);
        AND_THEN("it is where nothing of it ran")
        {
            failed.outcome = run_outcome::not_run;
            CHECK(budget.next(failed, now, random).verdict == retry_verdict::allowed);
        }
    }
    SECTION("an answer that has begun is not begun again")
    {
        failed.answer_begun = true;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::answer_begun);
    }
    SECTION("the attempts and the deadline bound it")
    {
        failed.attempts_made = 3;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::attempts_used);
        failed.attempts_made = 1;
        failed.shortest_attempt = 10s;
        CHECK(budget.next(failed, now, random).verdict == retry_verdict::deadline_too_near);
    }
}

TEST_CASE("retries stay a fraction of the traffic however many attempts fail")
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
}

TEST_CASE("hedges are for idempotent calls and stay a fraction of the traffic")
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
