#include "cardamomstream/connection/traffic_thread.h"
#include "cardamomstream/request/dispatcher.h"

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const region_name home{"riga"};
const pool_name pool{"drafting"};

routing_view view_with(std::uint32_t slots, const std::set<region_name>& customer_regions = {})
{
    rules published;
    published.regions[home] = {};
    published.pools[pool] = {};
    published.vms[vm_name{"riga-a"}] = {home, {}, {}, {}};
    published.customers[customer_name{"carrier"}].regions = customer_regions;
    vm_list list;
    list.version = 1;
    list.upstreams[upstream_name{"w1"}] = {pool,  home, {}, {"127.0.0.1", 9}, listed_state::live,
                                           slots, false};
    routing_view view;
    view.rules = std::make_shared<const rules>(published);
    view.list = std::make_shared<const vm_list>(list);
    return view;
}

dispatch_query query_of(const std::string& id, std::chrono::milliseconds patience)
{
    dispatch_query query;
    query.id = request_id{id};
    query.customer = customer_name{"carrier"};
    query.deadline = boot_clock::now() + patience;
    query.route.pool = pool;
    return query;
}

dispatcher_settings one_at_a_time()
{
    dispatcher_settings settings;
    settings.limit.initial = 1;
    settings.limit.max = 1;
    return settings;
}

} // namespace

TEST_CASE("requests wait for the only slot and are answered in time")
{
    dispatcher dispatch(home, one_at_a_time(), 1);
    dispatch.update(view_with(1), boot_clock::now());
    cancellation first_cancel;
    traffic_thread thread;

    std::promise<result<dispatch_grant>> first;
    thread.spawn([&] { first.set_value(dispatch.acquire(query_of("first", 1s), first_cancel)); });
    const auto granted = first.get_future().get();
    REQUIRE(granted);
    CHECK(granted.value().choice.upstream == upstream_name{"w1"});

    cancellation cancel;
    std::promise<result<dispatch_grant>> second;
    auto answer = second.get_future();

    SECTION("the slot goes to the next request when the first one ends")
    {
        thread.spawn([&] { second.set_value(dispatch.acquire(query_of("second", 5s), cancel)); });
        CHECK(answer.wait_for(50ms) == std::future_status::timeout);
        dispatch.finish(granted.value(), boot_clock::now());
        const auto given = answer.get();
        REQUIRE(given);
        CHECK(given.value().queued);
        dispatch.finish(given.value(), boot_clock::now());
    }
    SECTION("a request whose time is over is refused and has not run")
    {
        thread.spawn([&] { second.set_value(dispatch.acquire(query_of("second", 30ms), cancel)); });
        while (answer.wait_for(10ms) != std::future_status::ready) {
            dispatch.tick(boot_clock::now());
        }
        const auto refused = answer.get();
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == error_kind::overloaded);
        CHECK(refused.error().outcome == run_outcome::not_run);
        CHECK(refused.error().retry_after);
        dispatch.finish(granted.value(), boot_clock::now());
    }
    SECTION("a request whose caller disconnects leaves the queue")
    {
        thread.spawn([&] { second.set_value(dispatch.acquire(query_of("second", 5s), cancel)); });
        CHECK(answer.wait_for(50ms) == std::future_status::timeout);
        thread.spawn([&] { cancel.cancel(); });
        CHECK(answer.get().error().kind == error_kind::cancelled);
        CHECK(dispatch.stats()[pool].queued == 0);
        dispatch.finish(granted.value(), boot_clock::now());
    }
}

// A request was granted an upstream by the regions of its admission after these had changed.
TEST_CASE("regions of a customer that change after a request's admission bind its placement")
{
    dispatcher dispatch(home, one_at_a_time(), 1);
    dispatch.update(view_with(1), boot_clock::now());
    traffic_thread thread;
    cancellation cancel;
    const auto acquire = [&](dispatch_query query) {
        std::promise<result<dispatch_grant>> done;
        thread.spawn([&] { done.set_value(dispatch.acquire(query, cancel)); });
        return done.get_future().get();
    };

    SECTION("of a repeat")
    {
        dispatch.update(view_with(1, {region_name{"kurzeme"}}), boot_clock::now());
        auto query = query_of("repeat", 1s);
        const auto unbound = acquire(query);
        REQUIRE_FALSE(unbound);
        CHECK(unbound.error().kind == error_kind::no_permitted_region);
        query.route.permitted = {home};
        const auto refused = acquire(query);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == error_kind::no_permitted_region);
        CHECK(refused.error().outcome == run_outcome::not_run);
        CHECK(refused.error().retry_after);
    }
    SECTION("of one that has waited")
    {
        const auto granted = acquire(query_of("first", 1s));
        REQUIRE(granted);
        std::promise<result<dispatch_grant>> second;
        auto answer = second.get_future();
        thread.spawn([&] { second.set_value(dispatch.acquire(query_of("second", 5s), cancel)); });
        CHECK(answer.wait_for(50ms) == std::future_status::timeout);
        dispatch.update(view_with(1, {region_name{"kurzeme"}}), boot_clock::now());
        dispatch.finish(granted.value(), boot_clock::now());
        const auto refused = answer.get();
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == error_kind::no_permitted_region);
    }
    SECTION("but only the placement of requests that they exclude")
    {
        dispatch.update(view_with(1, {region_name{"kurzeme"}, home}), boot_clock::now());
        auto query = query_of("repeat", 1s);
        query.route.permitted = {home};
        const auto granted = acquire(query);
        REQUIRE(granted);
        dispatch.finish(granted.value(), boot_clock::now());
    }
}
