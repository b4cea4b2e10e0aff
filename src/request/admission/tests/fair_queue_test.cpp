#include "cardamomstream/request/admission_fair_queue.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const customer_name filing{"filing"};
const customer_name carrier{"carrier"};

struct queue_story {
    fair_queue queue{{}};
    time_point now{std::chrono::hours{1}};
    int next_id = 0;

    queued_request request(const customer_name& customer, token_count cost = 1'000,
                           std::chrono::seconds limit = 3'600s)
    {
        return {request_id{std::to_string(next_id++)}, customer, cost, now, now + limit};
    }

    void push(const customer_name& customer, int count, token_count cost = 1'000)
    {
        for (int i = 0; i < count; ++i) {
            REQUIRE(queue.push(request(customer, cost), now));
        }
    }

    std::map<customer_name, token_count> pop(int count, std::chrono::milliseconds pause = 0ms)
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

    /// Leaves a queue that has served 1,000 tokens each 100 ms and still holds `rest` requests.
    void serve_steadily(int rest)
    {
        push(filing, 20 + rest);
        pop(20, 100ms);
    }
};

} // namespace

TEST_CASE_METHOD(queue_story, "customers share the service by weight and not by demand")
{
    push(filing, 300);
    push(carrier, 50);

    SECTION("equal weights give equal shares to unequal queues")
    {
        const auto tokens = pop(80);
        CHECK(tokens.at(carrier) == 40'000);
    }
    SECTION("a weight of three gives three times the tokens")
    {
        queue.set_weight(filing, 3);
        const auto tokens = pop(80);
        CHECK(tokens.at(filing) == 3 * tokens.at(carrier));
    }
    SECTION("an idle customer goes first once and saves up nothing more")
    {
        pop(150);
        push(carrier, 50);
        CHECK(pop(1).at(carrier) == 1'000);
        CHECK(pop(40).at(carrier) == 20'000);
    }
    SECTION("a customer that comes and goes takes no more than its share")
    {
        pop(100);
        token_count taken = 0;
        for (int i = 0; i < 100; ++i) {
            push(carrier, 1);
            const auto tokens = pop(2);
            taken += tokens.contains(carrier) ? tokens.at(carrier) : 0;
        }
        CHECK(taken <= 101'000);
    }
}

TEST_CASE_METHOD(queue_story, "shares are of tokens and not of requests")
{
    push(filing, 40, 4'000);
    push(carrier, 200, 500);
    const auto tokens = pop(90);
    CHECK(tokens.at(filing) >= tokens.at(carrier) - 4'000);
    CHECK(tokens.at(filing) <= tokens.at(carrier) + 4'000);
}

TEST_CASE_METHOD(queue_story, "a deadline that the queue ahead can not meet is refused at once")
{
    serve_steadily(30);

    SECTION("the answer is not run and says when to come back")
    {
        const auto refused = queue.push(request(filing, 1'000, 2s), now);
        REQUIRE(!refused);
        CHECK(refused.error().kind == error_kind::overloaded);
        CHECK(refused.error().outcome == run_outcome::not_run);
        CHECK(*refused.error().retry_after >= 900ms);
        CHECK(*refused.error().retry_after <= 1'200ms);
        AND_THEN("after that time the same request is taken")
        {
            pop(static_cast<int>(*refused.error().retry_after / 100ms) + 1, 100ms);
            CHECK(queue.push(request(filing, 1'000, 2s), now));
        }
    }
    SECTION("a customer with nothing queued is taken with the same deadline")
    {
        CHECK(queue.push(request(carrier, 1'000, 2s), now));
    }
    SECTION("a deadline that can be met is taken")
    {
        CHECK(queue.push(request(filing, 1'000, 4s), now));
    }
}

TEST_CASE_METHOD(queue_story, "nothing is refused by prediction before any service was seen")
{
    push(filing, 200);
    CHECK(queue.push(request(filing, 1'000, 1s), now));
    CHECK(queue.predicted_wait(filing, now) == 0ms);
}

TEST_CASE_METHOD(queue_story, "a waiting request is given up as soon as it can not be met")
{
    serve_steadily(5);
    REQUIRE(queue.push(request(filing, 1'000, 1s), now));
    CHECK(queue.take_expired(now).empty());

    SECTION("when the service stalls it is told so before its deadline")
    {
        now += 700ms;
        const auto given_up = queue.take_expired(now);
        REQUIRE(given_up.size() == 1);
        CHECK(given_up.front().answer.kind == error_kind::overloaded);
        CHECK(given_up.front().answer.outcome == run_outcome::not_run);
        CHECK(given_up.front().answer.retry_after.has_value());
        CHECK(queue.size() == 5);
    }
    SECTION("while the service goes on it is served")
    {
        pop(5, 100ms);
        CHECK(queue.take_expired(now).empty());
        CHECK(queue.pop(now));
    }
}

TEST_CASE_METHOD(queue_story, "the queue is bounded and forgets callers that left")
{
    push(filing, 500);
    const auto refused = queue.push(request(filing), now);
    REQUIRE(!refused);
    CHECK(refused.error().retry_after.has_value());
    CHECK(queue.remove(request_id{"7"}));
    CHECK_FALSE(queue.remove(request_id{"7"}));
    CHECK(queue.push(request(filing), now));
}

TEST_CASE("the first request leaves the queue after a whole run time")
{
    queue_story story;
    for (int i = 0; i < 50; ++i) {
        REQUIRE(story.queue.push(story.request(filing, 1'000, 20s), story.now));
    }
    // Fifty others run for two seconds, then their slots come free one after the other.
    story.pop(1, 2s);

    SECTION("one such step condemns nobody who waits")
    {
        CHECK(story.queue.take_expired(story.now + 10ms).empty());
    }
    SECTION("steps that stay that slow refuse those who would come too late")
    {
        story.pop(7, 2s);
        CHECK_FALSE(story.queue.take_expired(story.now + 10ms).empty());
    }
}
