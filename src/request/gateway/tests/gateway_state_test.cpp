#include "cardamomstream/connection/traffic_group.h"
#include "cardamomstream/request/gateway/gateway_state.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

TEST_CASE("an engine with many running streams fails")
{
    traffic_group threads{1};
    http_client client(threads.front().io(), {});
    node_settings settings;
    settings.bounds.retry_ratio = 0.2;
    settings.bounds.retry_extra = 52;
    decision_log log;
    gateway_metrics counters;
    gateway_state state(settings, client, log, counters, 7);
    const pool_name drafts("drafts");
    std::mt19937_64 random(7);
    const auto start = boot_clock::now();

    // Eight VMs share the extra retries; this one gets 25 requests per second.
    int requests = 0;
    const auto send_requests = [&](std::chrono::seconds from, std::chrono::seconds to) {
        for (auto at = start + from; at < start + to; at += 40ms, ++requests) {
            state.count_request(drafts, at);
        }
    };
    const auto repeats_allowed = [&] {
        int allowed = 0;
        retry_query query;
        query.deadline = start + 100s;
        while (state.retry_budget_for(drafts).next(query, start, random).verdict == retry_verdict::allowed) {
            ++allowed;
        }
        return allowed;
    };

    SECTION("all its streams are retried at once, from the budget that earlier requests have filled")
    {
        send_requests(0s, 10s);
        CHECK(repeats_allowed() >= 15);
    }
    SECTION("but no window has more retries than the limits allow")
    {
        send_requests(0s, 10s);
        int repeats = repeats_allowed();
        requests = 0;
        for (auto second = 10s; second < 20s; second += 1s) {
            send_requests(second, second + 1s);
            repeats += repeats_allowed();
        }
        CHECK(repeats <= requests * 0.2 + 52.0 / 8);
    }
}

TEST_CASE("a stop of the process doesn't cut a request that was taken late")
{
    traffic_group threads{1};
    http_client client(threads.front().io(), {});
    node_settings settings;
    settings.region = region_name("riga");
    decision_log log;
    gateway_metrics counters;
    gateway_state state(settings, client, log, counters, 7);
    plan_route route;
    route.name = route_name("draft");
    route.kind = call_kind::idempotent;
    const auto start = boot_clock::now();
    for (int i = 0; i < 50; ++i) {
        state.times.sample(route.name, 1'000ms);
    }
    CHECK(state.answers_before_end(route, 1h, start));
    CHECK_FALSE(state.stopping());

    state.begin_stop(start + 2s, start + 7s);
    CHECK(state.stopping());
    SECTION("while callers are leaving, the usual time of a route decides for calls that may be repeated")
    {
        CHECK(state.answers_before_end(route, 15s, start + 1s));
    }
    SECTION("streams and calls that may run once must end in time even if they use up their time budget")
    {
        known_vm other;
        other.report.vm = vm_name("other");
        other.report.region = settings.region;
        other.report.entry = {"10.0.0.1", 1};
        other.report.ready = true;
        state.set_vms({std::make_shared<const known_vm>(other)}, 1);
        for (const auto kind : {call_kind::stream, call_kind::at_most_once}) {
            route.kind = kind;
            for (const bool resumable : {false, true}) {
                route.resumable = resumable;
                CHECK_FALSE(state.answers_before_end(route, 15s, start));
                CHECK_FALSE(state.answers_before_end(route, 7'001ms, start));
                CHECK(state.answers_before_end(route, 7s, start));
            }
        }
    }
    SECTION("no other VM of the region is ready: the usual time decides for these, too")
    {
        route.kind = call_kind::stream;
        CHECK(state.answers_before_end(route, 15s, start + 1s));
        CHECK_FALSE(state.answers_before_end(route, 15s, start + 2s));
    }
    SECTION("from then on a request must end in time even if it uses up its time budget")
    {
        CHECK_FALSE(state.answers_before_end(route, 15s, start + 2s));
        CHECK_FALSE(state.answers_before_end(route, 5'001ms, start + 2s));
        CHECK(state.answers_before_end(route, 5'000ms, start + 2s));
        CHECK(state.answers_before_end(route, 500ms, start + 6s));
    }
}
