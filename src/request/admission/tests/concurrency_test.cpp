#include "cardamomstream/request/admission_concurrency_limit.h"
#include "cardamomstream/request/admission_slot_gate.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

/// Simulates an upstream that serves `capacity` concurrent requests in 100 ms each and queues the others.
void drive(concurrency_limit& limit, double capacity, int samples, time_point& now)
{
    for (int i = 0; i < samples; ++i) {
        const auto in_flight = limit.value();
        const double overload = std::max(1.0, in_flight / capacity);
        const auto latency =
            std::chrono::duration_cast<std::chrono::microseconds>(100ms * overload * overload);
        limit.sample(latency, 100ms, in_flight, now);
        now += 10ms;
    }
}

} // namespace

TEST_CASE("a concurrency limit adapts to the capacity of the upstream")
{
    concurrency_limit limit{{}};
    time_point now{1h};

    SECTION("the limit grows while the latency stays at its minimum")
    {
        drive(limit, 20, 400, now);
        CHECK(limit.value() >= 18);
        AND_THEN("the limit falls when the upstream loses capacity")
        {
            drive(limit, 5, 400, now);
            CHECK(limit.value() <= 9);
        }
    }
    SECTION("the limit stops growing when requests queue at the upstream")
    {
        drive(limit, 8, 4'000, now);
        CHECK(limit.value() >= 8);
        CHECK(limit.value() <= 13);
    }
    SECTION("refusals lower the limit to its minimum")
    {
        for (int i = 0; i < 100; ++i) {
            limit.dropped();
        }
        CHECK(limit.value() == 1);
    }
    SECTION("a limit that is not reached does not grow")
    {
        for (int i = 0; i < 100; ++i) {
            limit.sample(100ms, 100ms, 1, now);
        }
        CHECK(limit.value() == 4);
    }
}

TEST_CASE("a slot gate dispatches queued requests to free slots only")
{
    const upstream_name worker{"r1"};
    const time_point now{1h};
    slot_gate gate{{}};
    fair_queue queue{{}};
    gate.open(worker, 2);
    for (const auto* id : {"a", "b", "c"}) {
        REQUIRE(queue.push({request_id{id}, customer_name{"filing"}, 1, now, now + 1h}, now));
    }
    const auto pick = [&](const queued_request&) { return slot_choice{slot_action::serve, worker}; };

    SECTION("two slots take two of three requests")
    {
        CHECK(gate.dispatch(queue, now, pick).size() == 2);
        CHECK(gate.free() == 0);
        CHECK_FALSE(gate.try_acquire(worker));
        CHECK(queue.size() == 1);
        AND_THEN("a released slot takes the third")
        {
            gate.release(worker);
            CHECK(gate.dispatch(queue, now, pick).size() == 1);
        }
    }
    SECTION("a closed upstream gets no new requests and still counts the running ones")
    {
        REQUIRE(gate.try_acquire(worker));
        gate.close(worker);
        CHECK(gate.dispatch(queue, now, pick).empty());
        CHECK(gate.in_flight(worker) == 1);
        gate.open(worker, 2);
        CHECK(gate.free() == 1);
    }
    SECTION("a request removed without a slot leaves the queue")
    {
        const auto sent = gate.dispatch(queue, now, [](const auto&) {
            return slot_choice{slot_action::dequeue, {}};
        });
        CHECK(sent.size() == 3);
        CHECK(gate.free() == 2);
    }
    SECTION("a request without an eligible free slot keeps its position")
    {
        CHECK(gate.dispatch(queue, now, [](const auto&) { return slot_choice{}; }).empty());
        CHECK(queue.size() == 3);
        CHECK(queue.pop(now)->id == request_id{"a"});
    }
}
