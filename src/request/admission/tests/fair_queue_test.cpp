#include "cardamomstream/request/admission_fair_queue.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const customer_name filing{"filing"};
const customer_name carrier{"carrier"};

struct fair_queue_fixture {
    fair_queue queue{{}};
    time_point now{std::chrono::hours{1}};
    int next_id = 0;

    queued_request request(const customer_name& customer, token_count cost = 1'000,
                           std::chrono::seconds time_limit = 3'600s)
    {
        return {request_id{std::to_string(next_id++)}, customer, cost, now, now + time_limit};
    }

    void push_many(const customer_name& customer, int count, token_count cost = 1'000)
    {
        for (int i = 0; i < count; ++i) {
            REQUIRE(queue.push(request(customer, cost), now));
        }
    }

    std::map<customer_name, token_count> pop_many(int count, std::chrono::milliseconds pause = 0ms)
    {
        std::map<customer_name, token_count> tokens;
        for (int i = 0; i < count; ++i) {
            now += pause;
            const auto request = queue.pop(now);
            REQUIRE(request);
            tokens[request->customer] += request->cost;
        }
        return tokens;
    }

    /// Serves 20 requests of 1,000 tokens at one per 100 ms and leaves `rest` requests in the queue.
    void serve_steadily(int rest)
    {
        push_many(filing, 20 + rest);
        pop_many(20, 100ms);
    }
};

} // namespace

TEST_CASE_METHOD(fair_queue_fixture, "customers share the service by weight, not by demand")
{
    push_many(filing, 300);
    push_many(carrier, 50);

    SECTION("equal weights give equal shares at unequal queue lengths")
    {
        const auto tokens = pop_many(80);
        CHECK(tokens.at(carrier) == 40'000);
    }
    SECTION("a weight of three gives three times the tokens")
    {
        queue.set_weight(filing, 3);
        const auto tokens = pop_many(80);
        CHECK(tokens.at(filing) == 3 * tokens.at(carrier));
    }
    SECTION("an idle customer is served first once and accumulates no further credit")
    {
        pop_many(150);
        push_many(carrier, 50);
        CHECK(pop_many(1).at(carrier) == 1'000);
        CHECK(pop_many(40).at(carrier) == 20'000);
    }
    SECTION("a customer that repeatedly empties its queue gets no more than its share")
    {
        pop_many(100);
        token_count taken = 0;
        for (int i = 0; i < 100; ++i) {
            push_many(carrier, 1);
            const auto tokens = pop_many(2);
            taken += tokens.contains(carrier) ? tokens.at(carrier) : 0;
        }
        CHECK(taken <= 101'000);
    }
}

TEST_CASE_METHOD(fair_queue_fixture, "shares are measured in tokens, not in requests")
{
    push_many(filing, 40, 4'000);
    push_many(carrier, 200, 500);
    const auto tokens = pop_many(90);
    CHECK(tokens.at(filing) >= tokens.at(carrier) - 4'000);
    CHECK(tokens.at(filing) <= tokens.at(carrier) + 4'000);
}

TEST_CASE_METHOD(fair_queue_fixture, "a request whose predicted wait exceeds its deadline is refused at once")
{
    serve_steadily(30);

    SECTION("the error has outcome not_run and a retry time")
    {
        const auto refused = queue.push(request(filing, 1'000, 2s), now);
        REQUIRE(!refused);
        CHECK(refused.error().kind == error_kind::overloaded);
        CHECK(refused.error().outcome == run_outcome::not_run);
        CHECK(*refused.error().retry_after >= 900ms);
        CHECK(*refused.error().retry_after <= 1'200ms);
        AND_THEN("after that time the same request is accepted")
        {
            pop_many(static_cast<int>(*refused.error().retry_after / 100ms) + 1, 100ms);
            CHECK(queue.push(request(filing, 1'000, 2s), now));
        }
    }
    SECTION("a customer with nothing queued is accepted with the same deadline")
    {
        CHECK(queue.push(request(carrier, 1'000, 2s), now));
    }
    SECTION("a later deadline is accepted")
    {
        CHECK(queue.push(request(filing, 1'000, 4s), now));
    }
}

TEST_CASE_METHOD(fair_queue_fixture, "no request is refused by prediction before any service was observed")
{
    push_many(filing, 200);
    CHECK(queue.push(request(filing, 1'000, 1s), now));
    CHECK(queue.predicted_wait(filing, now) == 0ms);
}

TEST_CASE_METHOD(fair_queue_fixture, "a waiting request expires once it can no longer meet its deadline")
{
    serve_steadily(5);
    REQUIRE(queue.push(request(filing, 1'000, 1s), now));
    CHECK(queue.take_expired(now).empty());

    SECTION("it expires before its deadline when the service stalls")
    {
        now += 700ms;
        const auto expired = queue.take_expired(now);
        REQUIRE(expired.size() == 1);
        CHECK(expired.front().answer.kind == error_kind::overloaded);
        CHECK(expired.front().answer.outcome == run_outcome::not_run);
        CHECK(expired.front().answer.retry_after.has_value());
        CHECK(queue.size() == 5);
    }
    SECTION("it is served while the service continues")
    {
        pop_many(5, 100ms);
        CHECK(queue.take_expired(now).empty());
        CHECK(queue.pop(now));
    }
}

TEST_CASE_METHOD(fair_queue_fixture, "the queue is bounded and removes cancelled requests")
{
    push_many(filing, 500);
    const auto refused = queue.push(request(filing), now);
    REQUIRE(!refused);
    CHECK(refused.error().retry_after.has_value());
    CHECK(queue.remove(request_id{"7"}));
    CHECK_FALSE(queue.remove(request_id{"7"}));
    CHECK(queue.push(request(filing), now));
}

TEST_CASE("the first request leaves the queue after a whole run time")
{
    fair_queue_fixture fixture;
    for (int i = 0; i < 50; ++i) {
        REQUIRE(fixture.queue.push(fixture.request(filing, 1'000, 20s), fixture.now));
    }
    // Fifty other requests run for two seconds, then their slots become free one after the other.
    fixture.pop_many(1, 2s);

    SECTION("one slow step expires no waiting request")
    {
        CHECK(fixture.queue.take_expired(fixture.now + 10ms).empty());
    }
    SECTION("a service that stays that slow expires the requests that would be late")
    {
        fixture.pop_many(7, 2s);
        CHECK_FALSE(fixture.queue.take_expired(fixture.now + 10ms).empty());
    }
}
