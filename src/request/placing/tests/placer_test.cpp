#include "cardamomstream/request/placing/placer.h"

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const region_name here("riga");
const region_name there("kurzeme");
const pool_name drafts("drafts");

upstream_view engine(const std::string& id, const region_name& region)
{
    upstream_view view;
    view.record.id = upstream_name(id);
    view.record.service = drafts;
    view.record.address = {"10.0.0.1", 80};
    view.record.started_unix_ms = 1;
    view.region = region;
    return view;
}

std::shared_ptr<const service_plan> plan_with_one_route()
{
    plan_service service;
    service.name = drafts;
    service.cold_requests_per_second = 2.9;
    service.engine = engine_traits{64, 400'000, 7};
    plan_route made;
    made.name = route_name("r");
    made.latency_objective = 600ms;
    made.event_gap_objective = 300ms;
    service_plan_document document;
    document.services = {service};
    document.routes = {made};
    return std::make_shared<const service_plan>(document);
}

known_vms known_vms_of(const std::vector<known_vm>& vms)
{
    known_vms all;
    for (const auto& vm : vms) {
        all.push_back(std::make_shared<const known_vm>(vm));
    }
    return all;
}

/// Two engines in the own region; one engine and one VM in another region.
struct placing_fixture {
    placing_fixture()
    {
        view.plan = plan;
        view.upstreams = {engine("a", here), engine("b", here), engine("c", there)};
        load.set_deployment(view);
        known_vm vm;
        vm.report.region = there;
        vm.report.inner = {"10.0.1.1", 7000};
        vm.report.ready = true;
        placing.set_vms(known_vms_of({vm}));
    }

    placing_request request(token_count prompt) const
    {
        placing_request made;
        made.service = drafts;
        made.route = route;
        made.prompt_tokens = prompt;
        made.answer_tokens = 200;
        made.time_left = 12s;
        return made;
    }

    placement place(const placing_request& wanted) { return placing.place(wanted, *plan, load, now); }

    sent_request send(const std::string& upstream, token_count prompt)
    {
        const auto made = request(prompt);
        const auto predicted = placing.predict(made, load, *load.find(upstream_name(upstream)), now);
        return load.begin_request(upstream_name(upstream), made, predicted, now);
    }

    time_point now{1'000s};
    std::shared_ptr<const service_plan> plan = plan_with_one_route();
    const plan_route* route = &plan->document().routes.front();
    deployment_view view;
    fleet_load load{placing_settings{}};
    placer placing{here, data_centre_name("riga-a"), placing_settings{}, 7};
};

} // namespace

TEST_CASE("a request is placed by when its first event would come")
{
    placing_fixture fixture;

    SECTION("not behind a long prompt, even if few requests run there")
    {
        fixture.send("a", 40'000);
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("b"));
    }
    SECTION(
        "a request of any urgency waits for the prompts before it: an engine prefills in order of arrival")
    {
        fixture.send("a", 40'000);
        fixture.send("b", 40'000);
        auto urgent = fixture.request(500);
        urgent.urgency = 0;
        const auto placed = fixture.place(urgent);
        CHECK(placed.verdict == placing_verdict::other_region);
        CHECK(placed.upstream == upstream_name("c"));
    }
    SECTION("the round trip to another region counts: a short wait in the own region is better")
    {
        fixture.send("a", 4'000);
        fixture.send("b", 4'000);
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::here);
    }
    SECTION("of two equal upstreams, the one in its own data centre")
    {
        fixture.view.upstreams[0].record.data_centre = data_centre_name("riga-b");
        fixture.view.upstreams[1].record.data_centre = data_centre_name("riga-a");
        fixture.load.set_deployment(fixture.view);
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("b"));
        SECTION("unless that one is busier")
        {
            fixture.send("b", 2'000);
            CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("a"));
        }
    }
    SECTION("the loads that other VMs of the region report count")
    {
        known_vm other;
        other.report.region = here;
        other.report.loads = {{upstream_name("a"), 1, 900ms, 40'000, {}},
                              {upstream_name("b"), 0, 0ms, 0, {}}};
        fixture.load.set_reports(known_vms_of({other}));
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("b"));
    }
    SECTION("a prompt goes to the engine that has cached its shared part")
    {
        auto first = fixture.request(5'000);
        first.parts = {{1, 4'800}, {2, 200}};
        const auto placed = fixture.place(first);
        auto sent = fixture.load.begin_request(placed.upstream, first, 100ms, fixture.now);
        fixture.load.on_first_event(sent, fixture.now);
        first.parts.back().id = 3;
        CHECK(fixture.place(first).upstream == placed.upstream);
    }
    SECTION("also when another VM sent it there")
    {
        known_vm other;
        other.report.region = here;
        other.received_at = fixture.now;
        other.report.loads = {{upstream_name("b"), 1, 0ms, 5'000, {1}}};
        for (std::uint64_t shared = 1; shared < 4; ++shared) {
            other.report.loads[0].new_parts = {shared};
            fixture.load.set_reports(known_vms_of({other}));
            auto first = fixture.request(5'000);
            first.parts = {{shared, 4'800}, {9, 200}};
            CHECK(fixture.place(first).upstream == upstream_name("b"));
        }
    }
    SECTION("a prompt that would delay the streams of an engine goes where few streams run")
    {
        for (int stream = 0; stream < 12; ++stream) {
            auto sent = fixture.send("a", 100);
            fixture.load.on_first_event(sent, fixture.now);
        }
        auto sent = fixture.send("b", 3'000);
        CHECK(fixture.place(fixture.request(60'000)).upstream != upstream_name("a"));
    }
}

TEST_CASE("a request that can't be served in time is refused at once")
{
    placing_fixture fixture;
    fixture.view.upstreams.pop_back(); // no other region
    fixture.load.set_deployment(fixture.view);
    auto at_a = fixture.send("a", 60'000);
    auto at_b = fixture.send("b", 60'000);

    SECTION("with the time after which it could be served")
    {
        const auto refused = fixture.place(fixture.request(500));
        CHECK(refused.verdict == placing_verdict::overloaded);
        CHECK(refused.retry_after >= 200ms);
        CHECK(refused.retry_after < 2 * refused.predicted);
    }
    SECTION("while many are refused, callers are told to retry later, which leaves capacity for new requests")
    {
        const auto mean_wait = [&](int refusals) {
            std::chrono::milliseconds sum{0};
            for (int number = 0; number < refusals; ++number) {
                sum += fixture.place(fixture.request(500)).retry_after;
            }
            return sum / refusals;
        };
        const auto first = mean_wait(5);
        (void)mean_wait(100);
        CHECK(mean_wait(5) > first + 2s);
    }
    SECTION("one that was sent before and did not run is placed again, since its caller has already waited")
    {
        auto again = fixture.request(500);
        again.tried = {upstream_name("a")};
        again.sent_before = true;
        CHECK(fixture.place(again).upstream == upstream_name("b"));
    }
    SECTION("and served again once the engines have prefilled the prompts before it")
    {
        fixture.now += 2'400ms;
        fixture.load.on_first_event(at_a, fixture.now);
        fixture.load.on_first_event(at_b, fixture.now);
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::here);
    }
}

TEST_CASE("a prompt too long for the objective is served by an idle engine")
{
    placing_fixture fixture;
    const auto placed = fixture.place(fixture.request(60'000));
    CHECK(placed.verdict == placing_verdict::here);
    CHECK(placed.predicted > fixture.route->latency_objective);
}

TEST_CASE("failing upstreams are avoided")
{
    placing_fixture fixture;

    SECTION("one that can't be reached is excluded at once, and tried again later")
    {
        auto sent = fixture.send("a", 100);
        fixture.load.end_request(sent, send_outcome::unreachable, fixture.now);
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("b"));
        CHECK(fixture.load.find(upstream_name("a"))->suspected_until < fixture.now + 1s);
    }
    SECTION("one with running requests that is silent is excluded until it sends bytes again")
    {
        auto owed = fixture.send("a", 100);
        fixture.now += 1s;
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("b"));
        fixture.load.record_activity(owed, fixture.now);
        fixture.load.on_first_event(owed, fixture.now);
        auto busy = fixture.send("b", 30'000);
        fixture.placing.set_vms({}); // no other region
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("a"));
    }
    SECTION("when all are suspected, none is excluded")
    {
        for (const auto* id : {"a", "b", "c"}) {
            auto sent = fixture.send(id, 100);
            fixture.load.end_request(sent, send_outcome::unreachable, fixture.now);
        }
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::here);
    }
    SECTION("one that accepts no connection is tried only once in an interval, even when no other is left")
    {
        auto bound = fixture.request(500);
        bound.own_region_only = true;
        for (int round = 0; round < 3; ++round) {
            for (const auto* id : {"a", "b"}) {
                auto sent = fixture.send(id, 100);
                fixture.load.end_request(sent, send_outcome::unreachable, fixture.now);
            }
        }
        const auto refused = fixture.place(bound);
        CHECK(refused.verdict == placing_verdict::unreachable);
        CHECK(refused.retry_after >= 500ms);
        fixture.now += 500ms;
        AND_THEN("one request at a time")
        {
            const auto first = fixture.place(bound);
            REQUIRE(first.verdict == placing_verdict::here);
            auto trial = fixture.send(first.upstream.str(), 500);
            const auto second = fixture.place(bound);
            REQUIRE(second.verdict == placing_verdict::here);
            CHECK(second.upstream != first.upstream);
            auto other_trial = fixture.send(second.upstream.str(), 500);
            CHECK(fixture.place(bound).verdict == placing_verdict::unreachable);
            AND_THEN("a stream that began before and breaks off now does not mark it reachable")
            {
                fixture.load.end_request(trial, send_outcome::broken, fixture.now);
                CHECK(fixture.place(bound).verdict == placing_verdict::unreachable);
            }
            AND_THEN("an answer ends the limit on attempts")
            {
                fixture.load.end_request(trial, send_outcome::answered, fixture.now);
                CHECK(fixture.place(bound).upstream == first.upstream);
                CHECK(fixture.place(bound).upstream == first.upstream);
                fixture.load.end_request(other_trial, send_outcome::unreachable, fixture.now);
            }
        }
    }
    SECTION("calls that fail at every upstream exclude none of them")
    {
        for (int round = 0; round < 30; ++round) {
            for (const auto* id : {"a", "b"}) {
                auto sent = fixture.send(id, 10);
                fixture.load.end_request(sent, send_outcome::failed, fixture.now);
            }
        }
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::here);
    }
}

TEST_CASE("a process that is known to have ended gets no requests that would only be refused")
{
    placing_fixture fixture;
    auto sent = fixture.send("a", 500);
    fixture.load.end_request(sent, send_outcome::broken, fixture.now);
    fixture.load.record_process_end(upstream_name("a"), fixture.now);
    fixture.send("b", 40'000); // makes "a" the cheaper one
    CHECK(fixture.place(fixture.request(500)).upstream != upstream_name("a"));

    SECTION("unless nothing else is left")
    {
        auto only = fixture.request(500);
        only.tried = {upstream_name("b"), upstream_name("c")};
        CHECK(fixture.place(only).upstream == upstream_name("a"));
    }
    SECTION("until the time is over in which a refused connection keeps requests away")
    {
        fixture.now += 2s;
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("a"));
    }
}

TEST_CASE("a cold upstream gets no more requests per second than its limit")
{
    placing_fixture fixture;
    fixture.view.upstreams = {engine("a", here)};
    fixture.view.upstreams[0].cold_until = fixture.now + 100s;
    fixture.load.set_deployment(fixture.view);
    // The whole region may send 2.9 x 1.5 + 3 requests per second.
    const auto send_until_refused = [&] {
        int sent = 0;
        while (fixture.place(fixture.request(100)).verdict == placing_verdict::here) {
            auto kept = fixture.send("a", 100);
            fixture.load.on_first_event(kept, fixture.now);
            ++sent;
        }
        CHECK(fixture.place(fixture.request(100)).verdict == placing_verdict::cold);
        fixture.now += 1'200ms;
        return sent;
    };
    const auto receive_reports = [&](int vms) {
        std::vector<known_vm> neighbours(static_cast<std::size_t>(vms));
        for (int vm = 0; vm < vms; ++vm) {
            auto& neighbour = neighbours[static_cast<std::size_t>(vm)];
            neighbour.report.vm = vm_name(std::to_string(vm));
            neighbour.report.inner = {"10.0.0." + std::to_string(vm + 1), 7000};
            neighbour.report.data_centre = data_centre_name("riga-a");
            neighbour.report.region = here;
            neighbour.received_at = fixture.now;
        }
        fixture.placing.set_vms(known_vms_of(neighbours));
    };

    SECTION("a VM that has received no reports yet leaves capacity for VMs that may be running")
    {
        CHECK(send_until_refused() * 3 <= 7);
    }
    SECTION("a VM that has just started sends none until it has received reports, since the whole region may "
            "have "
            "started")
    {
        fixture.placing = placer{here, data_centre_name("riga-a"), placing_settings{}, 7, fixture.now};
        CHECK(send_until_refused() == 0);
        CHECK(send_until_refused() > 0);
    }
    SECTION("three VMs share the limit")
    {
        receive_reports(2);
        CHECK(send_until_refused() == 2);
        CHECK(send_until_refused() == 2);
    }
    SECTION("a VM that has just stopped reporting may still use its share")
    {
        receive_reports(6);
        receive_reports(1);
        CHECK(send_until_refused() == 1);
        SECTION("until it has not reported for long")
        {
            fixture.now += 20s;
            receive_reports(2);
            CHECK(send_until_refused() == 2);
        }
    }
}

TEST_CASE("first events come later than the known loads explain")
{
    // For example because VMs whose reports do not arrive send to the same engines.
    placing_fixture fixture;
    const auto answer = [&](std::chrono::milliseconds after, int times) {
        std::vector<sent_request> sent;
        sent.reserve(static_cast<std::size_t>(times));
        for (int number = 0; number < times; ++number) {
            sent.push_back(fixture.send(number % 2 == 0 ? "a" : "b", 500));
        }
        fixture.now += after;
        for (auto& made : sent) {
            fixture.load.on_first_event(made, fixture.now);
            fixture.load.end_request(made, send_outcome::answered, fixture.now);
        }
    };

    SECTION("by more than the round trip to another region: requests go there")
    {
        answer(700ms, 30);
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::other_region);
    }
    SECTION("and there is no other region: a refusal at once, with a retry time")
    {
        fixture.placing.set_vms({});
        for (int round = 0; round < 6; ++round) {
            answer(900ms, 20);
        }
        const auto refused = fixture.place(fixture.request(500));
        CHECK(refused.verdict == placing_verdict::overloaded);
        CHECK(refused.retry_after >= 150ms);
        SECTION(
            "requests are served again after a while, although no sample shows that they would be in time")
        {
            fixture.now += 4s;
            CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::here);
        }
    }
    SECTION("for the least urgent requests, which engines start last: the urgent ones are served")
    {
        fixture.placing.set_vms({});
        known_vm other;
        other.report.region = here;
        other.received_at = fixture.now;
        other.report.lateness = {{drafts, 2, 700ms, 100}};
        fixture.load.add_reported_lateness(other);
        auto wanted = fixture.request(500);
        CHECK(fixture.place(wanted).verdict == placing_verdict::here);
        wanted.urgency = 2;
        CHECK(fixture.place(wanted).verdict == placing_verdict::overloaded);
    }
    SECTION("one late answer causes no refusals")
    {
        fixture.placing.set_vms({});
        answer(5s, 1);
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::here);
    }
    SECTION("as the other VMs of the region report")
    {
        fixture.placing.set_vms({});
        known_vm other;
        other.report.vm = vm_name("other");
        other.report.region = here;
        other.received_at = fixture.now;
        other.report.lateness = {{drafts, 0, 700ms, 100}};
        fixture.load.add_reported_lateness(other);
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::overloaded);
    }
}

TEST_CASE("an upstream rejects a request for lack of capacity")
{
    placing_fixture fixture;
    auto sent = fixture.send("a", 500);
    fixture.load.end_request(sent, send_outcome::rejected, fixture.now);
    SECTION("it gets no other request for a moment")
    {
        fixture.send("b", 3'000);
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("b"));
        fixture.now += 1s;
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("a"));
    }
    SECTION("all upstreams reject: the next request is refused at once")
    {
        fixture.placing.set_vms({});
        auto other = fixture.send("b", 500);
        fixture.load.end_request(other, send_outcome::rejected, fixture.now);
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::overloaded);
    }
}

TEST_CASE("a request is only placed in its home regions")
{
    placing_fixture fixture;
    auto bound = fixture.request(500);
    plan_customer customer;
    customer.home_regions = {there};
    bound.customer = &customer;
    SECTION("it goes to its home region, although engines in the own region are idle")
    {
        CHECK(fixture.place(bound).upstream == upstream_name("c"));
    }
    SECTION("and is refused when no VM of its home region is known")
    {
        fixture.placing.set_vms({});
        CHECK(fixture.place(bound).verdict == placing_verdict::no_upstream);
    }
    SECTION("a request that another VM passed on is not passed on again")
    {
        bound.own_region_only = true;
        CHECK(fixture.place(bound).verdict == placing_verdict::no_upstream);
    }
}

TEST_CASE("the VMs of a region of any size keep a cold upstream's limit together, and use some of it")
{
    // All VMs start at once, as after a power failure, and receive each other's reports a second later.
    const auto vms = GENERATE(std::size_t{2}, std::size_t{7}, std::size_t{8}, std::size_t{28},
                              std::size_t{98}, std::size_t{330});
    const bool partitioned =
        GENERATE(false, true); // two data centres that receive no reports from each other
    CAPTURE(vms, partitioned);
    constexpr double bound = 2.9 * 1.5 + 3;
    placing_settings settings;
    settings.data_centres_of_region = 2;
    const auto data_centre_of = [](std::size_t vm) {
        return data_centre_name(vm % 2 == 0 ? "riga-a" : "riga-b");
    };
    const auto plan = plan_with_one_route();
    const time_point start{1'000s};
    deployment_view view;
    view.plan = plan;
    view.upstreams = {engine("cold", here)};
    view.upstreams[0].cold_until = start + 10s;
    placing_request wanted;
    wanted.service = drafts;
    wanted.route = &plan->document().routes.front();
    wanted.prompt_tokens = 100;
    wanted.time_left = 12s;

    std::vector<fleet_load> loads(vms, fleet_load{placing_settings{}});
    std::vector<placer> placers;
    std::vector<endpoint> addresses;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        addresses.push_back({"10.0." + std::to_string(vm / 200) + "." + std::to_string(vm % 200 + 1), 7'000});
        placers.emplace_back(here, data_centre_of(vm), settings, vm, start, addresses.back());
        loads[vm].set_deployment(view);
    }
    std::deque<time_point> sends;
    std::size_t total = 0;
    std::size_t max_in_window = 0;
    for (auto now = start; now < start + 4s; now += 20ms) {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            if (now == start + 1s) {
                std::vector<known_vm> others;
                for (std::size_t other = 0; other < vms; ++other) {
                    if (other != vm && !(partitioned && other % 2 != vm % 2)) {
                        known_vm known;
                        known.report.region = here;
                        known.report.inner = addresses[other];
                        known.report.data_centre = data_centre_of(other);
                        known.received_at = now;
                        others.push_back(known);
                    }
                }
                placers[vm].set_vms(known_vms_of(others));
            }
            const auto placed = placers[vm].place(wanted, *plan, loads[vm], now);
            if (placed.verdict == placing_verdict::here) {
                auto sent = loads[vm].begin_request(placed.upstream, wanted, placed.predicted, now);
                loads[vm].end_request(sent, send_outcome::answered, now);
                sends.push_back(now);
                total += 1;
            }
        }
        while (!sends.empty() && now - sends.front() >= 1s) {
            sends.pop_front();
        }
        max_in_window = std::max(max_in_window, sends.size());
    }
    CHECK(static_cast<double>(max_in_window) <= bound);
    CHECK(total >= 4);
}

TEST_CASE("the VMs of a region of any size keep the limit that an upstream states, and use most of it")
{
    const auto vms = GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{8}, std::size_t{28},
                              std::size_t{98}, std::size_t{330});
    const auto limit = GENERATE(0.0, 0.4, 1.0, 2.5, 30.0, 400.0);
    const bool partitioned =
        GENERATE(false, true); // two data centres that receive no reports from each other
    CAPTURE(vms, limit, partitioned);
    placing_settings settings;
    settings.data_centres_of_region = vms > 1 ? 2 : 1;
    const auto data_centre_of = [](std::size_t vm) {
        return data_centre_name(vm % 2 == 0 ? "riga-a" : "riga-b");
    };
    const auto plan = plan_with_one_route();
    const time_point start{1'000s};
    deployment_view view;
    view.plan = plan;
    view.upstreams = {engine("limited", here)};
    placing_request wanted;
    wanted.service = drafts;
    wanted.route = &plan->document().routes.front();
    wanted.prompt_tokens = 10;
    wanted.time_left = 12s;
    known_vm informed; // received the answer with the limit
    informed.received_at = start;
    informed.report.limits = {{upstream_name("limited"), 1, limit, 0ms}};

    std::vector<fleet_load> loads(vms, fleet_load{placing_settings{}});
    std::vector<placer> placers;
    std::vector<endpoint> addresses;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        addresses.push_back({"10.0." + std::to_string(vm / 200) + "." + std::to_string(vm % 200 + 1), 7'000});
        placers.emplace_back(here, data_centre_of(vm), settings, vm, start - 10s, addresses.back());
        loads[vm].set_deployment(view);
        loads[vm].apply_reported_limits(informed);
    }
    for (std::size_t vm = 0; vm < vms; ++vm) {
        std::vector<known_vm> others;
        for (std::size_t other = 0; other < vms; ++other) {
            if (other != vm && !(partitioned && other % 2 != vm % 2)) {
                known_vm known;
                known.report.region = here;
                known.report.inner = addresses[other];
                known.report.data_centre = data_centre_of(other);
                known.received_at = start + 5s;
                others.push_back(known);
            }
        }
        placers[vm].set_vms(known_vms_of(others));
    }
    std::deque<time_point> sends;
    std::size_t total = 0;
    std::size_t max_in_window = 0;
    constexpr auto length = 12s;
    for (auto now = start; now < start + length; now += 20ms) {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            // Each VM has enough requests for the whole limit.
            for (int request = 0; request < 9; ++request) {
                const auto placed = placers[vm].place(wanted, *plan, loads[vm], now);
                if (placed.verdict != placing_verdict::here) {
                    CHECK(placed.verdict == placing_verdict::limited);
                    CHECK(placed.retry_after >= 100ms);
                    break;
                }
                auto sent = loads[vm].begin_request(placed.upstream, wanted, placed.predicted, now);
                loads[vm].end_request(sent, send_outcome::answered, now);
                sends.push_back(now);
                total += 1;
            }
        }
        while (!sends.empty() && now - sends.front() >= 4s) {
            sends.pop_front();
        }
        max_in_window = std::max(max_in_window, sends.size());
    }
    CHECK(static_cast<double>(max_in_window) <= 4 * limit * 1.5 + 5);
    const auto used = static_cast<double>(total) / std::chrono::duration<double>(length).count();
    CHECK(used >= limit * 0.8);
    CHECK(total >= 1);
}

TEST_CASE("an upstream of another region states a request limit")
{
    placing_fixture fixture;
    known_vm informed;
    informed.received_at = fixture.now;
    informed.report.limits = {{upstream_name("c"), 1, 1.0, 0ms}};
    fixture.load.apply_reported_limits(informed);
    auto bound = fixture.request(500);
    plan_customer customer;
    customer.home_regions = {there};
    bound.customer = &customer;

    SECTION("requests are passed on at the share of this VM, whatever the size of the own region")
    {
        int passed_on = 0;
        for (const auto end = fixture.now + 8s; fixture.now < end; fixture.now += 50ms) {
            const auto placed = fixture.place(bound);
            if (placed.verdict == placing_verdict::other_region) {
                fixture.load.record_hop(placed.upstream, bound, fixture.now);
                passed_on += 1;
            }
        }
        CHECK(passed_on == 4); // two VMs in all
    }
}

TEST_CASE("an answer states something while its upstream is away from the list")
{
    placing_fixture fixture;
    fixture.view.upstreams.erase(fixture.view.upstreams.begin() + 1, fixture.view.upstreams.end());
    fixture.load.set_deployment(fixture.view);
    const auto sent = fixture.send("a", 100);
    auto without = fixture.view;
    without.upstreams.clear();
    fixture.load.set_deployment(without);
    fixture.now += 1s;

    SECTION("that it is leaving: it gets no requests when it is listed again")
    {
        CHECK(fixture.load.record_leaving(sent, fixture.now));
        fixture.load.set_deployment(fixture.view);
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::no_upstream);
    }
    SECTION("that it wants a pause")
    {
        fixture.load.record_pause(sent, 3s, fixture.now);
        fixture.load.set_deployment(fixture.view);
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::paused);
    }
    SECTION("a limit")
    {
        CHECK(fixture.load.record_limit(sent, {true, 2.0}, fixture.now));
        fixture.load.set_deployment(fixture.view);
        CHECK(fixture.load.statements().limit(upstream_name("a")) == 2.0);
    }
    SECTION("but it has restarted since: that no longer counts")
    {
        fixture.view.upstreams[0].record.started_unix_ms = 2;
        fixture.load.set_deployment(fixture.view);
        CHECK_FALSE(fixture.load.record_leaving(sent, fixture.now));
        fixture.load.record_pause(sent, 3s, fixture.now);
        CHECK_FALSE(fixture.load.record_limit(sent, {true, 2.0}, fixture.now));
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::here);
    }
}

// The entry of a process that has started again can't be written while the store is down.
TEST_CASE("an upstream's version is not trusted after a refused connection until the list is known")
{
    placing_fixture fixture;
    auto& load = fixture.load;
    const auto refused_at = fixture.now;
    load.record_process_end(upstream_name("a"), refused_at);
    const auto certain = [&](std::chrono::milliseconds later) {
        return load.version_of(*load.find(upstream_name("a")), refused_at + later).has_value();
    };

    SECTION("the store answers all the while")
    {
        load.set_list_known_since(refused_at - 1h);
        CHECK_FALSE(certain(2'900ms));
        CHECK(certain(3s));
    }
    SECTION("the store is down, and comes back")
    {
        load.set_list_known_since({});
        CHECK_FALSE(certain(3s));
        CHECK_FALSE(certain(1h));
        load.set_list_known_since(refused_at + 4'500ms);
        CHECK_FALSE(certain(4'600ms));
        CHECK_FALSE(certain(7'400ms));
        CHECK(certain(7'500ms));
    }
    SECTION("the list shows that the process has started again")
    {
        load.set_list_known_since({});
        fixture.view.upstreams[0].record.started_unix_ms += 1;
        load.set_deployment(fixture.view);
        CHECK(certain(100ms));
    }
}

TEST_CASE("an upstream whose process has ended gets no more than a cold one may, before its entry comes")
{
    placing_fixture fixture;
    fixture.view.upstreams = {engine("a", here)};
    fixture.load.set_deployment(fixture.view);
    const upstream_name upstream("a");
    constexpr std::size_t own_share = 2; // of 2.9 x 1.5 + 3, divided by three VMs
    const auto placed = [&](int requests) {
        std::size_t sent = 0;
        for (int number = 0; number < requests; ++number) {
            if (fixture.place(fixture.request(100)).verdict == placing_verdict::here) {
                fixture.send("a", 100);
                sent += 1;
            }
        }
        return sent;
    };
    const auto list_successor = [&] {
        fixture.view.upstreams[0].record.started_unix_ms = 2;
        fixture.view.upstreams[0].cold_until = fixture.now + 3s;
        fixture.load.set_deployment(fixture.view);
    };

    SECTION("as this VM has seen it")
    {
        auto refused = fixture.send("a", 100);
        CHECK(fixture.load.record_no_process(refused, fixture.now));
        fixture.load.end_request(refused, send_outcome::unreachable, fixture.now); // reached nobody
        fixture.now += 10ms;
        CHECK(placed(5) == own_share);
        SECTION("and what was sent before the entry counts after it")
        {
            fixture.now += 500ms;
            list_successor();
            CHECK(placed(5) == 0);
            fixture.now += 700ms;
            CHECK(placed(5) == own_share);
        }
    }
    SECTION("nor when its entry lapses meanwhile and comes back")
    {
        CHECK(placed(5) == 5);
        const auto listed = std::exchange(fixture.view.upstreams, {});
        fixture.load.set_deployment(fixture.view);
        (void)fixture.load.take_loads(fixture.now);
        fixture.view.upstreams = listed;
        list_successor();
        CHECK(placed(5) == 0);
    }
    SECTION("as another VM reports it")
    {
        known_vm other;
        other.received_at = fixture.now;
        other.report.upstream_ends = {{upstream, 1, 50ms}};
        fixture.load.apply_reported_ends(other);
        CHECK(placed(5) == own_share);
    }
    SECTION("not for the end of a process before the one that is listed")
    {
        known_vm other;
        other.received_at = fixture.now;
        other.report.upstream_ends = {{upstream, 0, 50ms}};
        fixture.load.apply_reported_ends(other);
        CHECK(placed(5) == 5);
    }
    SECTION("one connection of several that breaks is no sign")
    {
        auto sent = fixture.send("a", 100);
        fixture.load.record_break(sent, fixture.now);
        CHECK_FALSE(fixture.load.record_common_break(sent, false, fixture.now)); // one is still open
        fixture.load.end_request(sent, send_outcome::broken, fixture.now);
        CHECK_FALSE(fixture.load.record_common_break(sent, std::nullopt, fixture.now));
        CHECK_FALSE(fixture.load.record_common_break(sent, true, fixture.now));
        SECTION("together with the idle ones it is")
        {
            CHECK(fixture.load.record_common_break(sent, false, fixture.now));
            CHECK(placed(5) == own_share - 1); // the send before counts
        }
        SECTION("unless connections to others broke too: then they were reset on the way")
        {
            fixture.view.upstreams.push_back(engine("b", here));
            fixture.load.set_deployment(fixture.view);
            fixture.load.record_break(fixture.send("b", 100), fixture.now);
            CHECK_FALSE(fixture.load.record_common_break(sent, false, fixture.now));
        }
    }
}

TEST_CASE("what ends at an earlier process of an upstream says nothing of the one that is listed now")
{
    placing_fixture fixture;
    auto at_earlier = fixture.send("a", 100);
    fixture.view.upstreams[0].record.started_unix_ms = 2;
    fixture.load.set_deployment(fixture.view);
    auto at_present = fixture.send("a", 100);
    const auto* state = fixture.load.find(upstream_name("a"));
    REQUIRE(state->own.running == 1);

    SECTION("its load stays")
    {
        fixture.load.end_request(at_earlier, send_outcome::broken, fixture.now);
        CHECK(state->own.running == 1);
        CHECK(state->outcomes == 0);
    }
    SECTION("the run of the earlier one is lost")
    {
        CHECK(fixture.load.has_lost_run(at_earlier));
        CHECK_FALSE(fixture.load.has_lost_run(at_present));
    }
}

TEST_CASE("a request that was sent to an unlisted successor has not lost its run when that is listed")
{
    placing_fixture fixture;
    auto at_earlier = fixture.send("a", 100);
    fixture.now += 10ms;
    fixture.load.record_no_process(at_earlier, fixture.now);
    fixture.now += 300ms;
    auto at_successor = fixture.send("a", 100);
    fixture.view.upstreams[0].record.started_unix_ms = 2;
    fixture.load.set_deployment(fixture.view);
    CHECK(fixture.load.has_lost_run(at_earlier));
    CHECK_FALSE(fixture.load.has_lost_run(at_successor));
}

TEST_CASE("a VM that has lost its links passes requests on to VMs of its region that have theirs")
{
    placing_fixture fixture;
    known_vm linked;
    linked.report.region = here;
    linked.report.inner = {"10.0.0.2", 7000};
    linked.report.ready = true;
    auto cut = linked;
    cut.report.inner = {"10.0.0.3", 7000};
    cut.report.links_lost = true;
    known_vm elsewhere;
    elsewhere.report.region = there;
    elsewhere.report.inner = {"10.0.1.1", 7000};
    elsewhere.report.ready = true;
    fixture.placing.set_vms(known_vms_of({linked, cut, elsewhere}));
    // What the links did to its requests says nothing of the upstreams.
    for (const auto* id : {"a", "b"}) {
        auto sent = fixture.send(id, 20'000);
        fixture.load.end_request(sent, send_outcome::unreachable, fixture.now);
        fixture.send(id, 20'000); // hangs
    }
    auto late = fixture.send("a", 100);
    fixture.now += 2s;
    fixture.load.on_first_event(late, fixture.now);
    fixture.load.set_links_lost(true, true, fixture.now);

    SECTION("never to one that has lost them too")
    {
        for (int number = 0; number < 20; ++number) {
            const auto placed = fixture.place(fixture.request(500));
            REQUIRE(placed.verdict == placing_verdict::other_vm);
            CHECK(placed.address == linked.report.inner);
            CHECK(placed.region == here);
        }
    }
    SECTION("without one, to another region")
    {
        fixture.placing.set_vms(known_vms_of({cut, elsewhere}));
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::other_region);
        SECTION("where a VM has its links")
        {
            elsewhere.report.links_lost = true;
            fixture.placing.set_vms(known_vms_of({cut, elsewhere}));
            CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::unreachable);
        }
        SECTION("unless it must stay here: then it is refused at once")
        {
            auto bound = *fixture.route;
            bound.home_regions = {here};
            auto request = fixture.request(500);
            request.route = &bound;
            CHECK(fixture.place(request).verdict == placing_verdict::unreachable);
        }
    }
    SECTION("without one, a begun stream goes on at no upstream whose software version is uncertain")
    {
        elsewhere.report.links_lost = true;
        fixture.placing.set_vms(known_vms_of({cut, elsewhere}));
        late.connected_at = fixture.now;
        fixture.load.record_activity(late, fixture.now);
        auto request = fixture.request(500);
        REQUIRE(fixture.place(request).verdict == placing_verdict::here); // a connection still works
        request.version = std::string{};
        CHECK(fixture.place(request).verdict == placing_verdict::no_upstream);
    }
    SECTION("not those that another VM has passed on: it tries the next")
    {
        auto request = fixture.request(500);
        request.own_region_only = true;
        CHECK(fixture.place(request).verdict == placing_verdict::unreachable);
    }
    SECTION("each gets a request once")
    {
        auto request = fixture.request(500);
        request.tried_vms = {linked.report.inner};
        CHECK(fixture.place(request).verdict == placing_verdict::other_region);
    }
    SECTION("what it sent is no load for the others, nor is its lateness")
    {
        CHECK(fixture.load.take_loads(fixture.now).empty());
        CHECK(fixture.load.take_lateness().empty());
    }
    SECTION("and serves by itself once they are back")
    {
        fixture.now += 1s;
        fixture.load.set_links_lost(false, true, fixture.now);
        fixture.now += 1s; // what hangs from before doesn't make the upstreams silent
        CHECK(fixture.place(fixture.request(500)).verdict == placing_verdict::here);
    }
}

TEST_CASE("upstreams that all ended count as restarted when they are back, though the links seemed lost")
{
    placing_fixture fixture;
    auto refused = fixture.send("a", 100);
    fixture.load.record_no_process(refused, fixture.now);
    fixture.load.end_request(refused, send_outcome::unreachable, fixture.now);
    const auto may_be_cold = [&] {
        return fixture.load.may_be_cold(*fixture.load.find(upstream_name("a")), 3s, fixture.now);
    };

    SECTION("no VM of the region had links")
    {
        fixture.load.set_links_lost(true, false, fixture.now);
        fixture.now += 1s;
        fixture.load.set_links_lost(false, false, fixture.now);
        CHECK(may_be_cold());
        CHECK(fixture.load.own_ends(fixture.now).size() == 1);
    }
    SECTION("others had: then this VM's links were the cause")
    {
        fixture.load.set_links_lost(true, true, fixture.now);
        fixture.now += 1s;
        fixture.load.set_links_lost(false, true, fixture.now);
        CHECK_FALSE(may_be_cold());
    }
    SECTION("what others have seen stays known; a VM forgot it with what it had seen itself")
    {
        known_vm other;
        other.received_at = fixture.now;
        other.report.upstream_ends = {
            {upstream_name("a"), fixture.load.find(upstream_name("a"))->view.record.started_unix_ms, 0ms}};
        fixture.load.apply_reported_ends(other);
        fixture.load.set_links_lost(true, true, fixture.now);
        fixture.now += 1s;
        fixture.load.set_links_lost(false, true, fixture.now);
        CHECK(may_be_cold());
        CHECK(fixture.load.own_ends(fixture.now).empty());
    }
    SECTION("an end that was seen long before stays one")
    {
        fixture.now += 10s;
        fixture.load.set_links_lost(true, true, fixture.now);
        fixture.load.set_links_lost(false, true, fixture.now);
        CHECK(may_be_cold());
    }
}

// Engines that share their machines take 2.5 times as long for moments, and say so.
TEST_CASE("engines on shared machines state how long work takes")
{
    placing_fixture fixture;
    const auto state_work = [&](const std::string& upstream, std::uint32_t percent) {
        auto sent = fixture.send(upstream, 100);
        fixture.load.record_load(sent, {true, percent}, fixture.now);
        fixture.load.end_request(sent, send_outcome::answered, fixture.now);
    };
    const auto run_on = [&](const std::string& upstream, int requests) {
        for (int number = 0; number < requests; ++number) {
            auto sent = fixture.send(upstream, 100);
            fixture.load.on_first_event(sent, fixture.now);
        }
    };
    state_work("a", 100);

    SECTION("a long prompt goes where it holds up no streams, even if it waits there")
    {
        run_on("a", 20);
        run_on("b", 20);
        fixture.send("b", 2'000);
        CHECK(fixture.place(fixture.request(7'000)).upstream == upstream_name("a"));
        state_work("a", 250);
        CHECK(fixture.place(fixture.request(7'000)).upstream == upstream_name("b"));

        SECTION("until that is over")
        {
            fixture.now += upstream_work::statement_ttl;
            fixture.send("b", 2'000);
            CHECK(fixture.place(fixture.request(7'000)).upstream == upstream_name("a"));
        }
    }
    SECTION("a full engine gets no further request, and none is sent to wait where all are full")
    {
        run_on("a", 64);
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("b"));
        run_on("b", 64);
        CHECK(fixture.place(fixture.request(500)).upstream == upstream_name("c"));
        run_on("c", 64);
        const auto refused = fixture.place(fixture.request(500));
        CHECK(refused.verdict == placing_verdict::overloaded);
        CHECK(refused.retry_after > 0ms);

        SECTION("but one that was sent before goes on")
        {
            auto again = fixture.request(500);
            again.sent_before = true;
            CHECK(fixture.place(again).verdict == placing_verdict::here);
        }
    }
    SECTION("the wait for a slot is known from how long streams run")
    {
        const auto before = fixture.load.run_time(drafts);
        for (int number = 0; number < 200; ++number) {
            auto sent = fixture.send("a", 100);
            fixture.load.on_first_event(sent, fixture.now);
            fixture.now += 5s;
            fixture.load.end_request(sent, send_outcome::answered, fixture.now);
        }
        CHECK(fixture.load.run_time(drafts) > before);
        CHECK(fixture.load.run_time(drafts) > 4'500ms);
        CHECK(fixture.load.run_time(drafts) <= 5s);
    }
}

TEST_CASE("a load that can't be read is told once for each upstream")
{
    placing_fixture fixture;
    const auto sent = fixture.send("a", 100);
    CHECK(fixture.load.record_load(sent, {false, std::nullopt}, fixture.now) == load_news::unreadable);
    CHECK(fixture.load.record_load(sent, {false, std::nullopt}, fixture.now) == load_news::none);
    CHECK_FALSE(fixture.load.states_work(drafts));
}

// Requests that were passed on to another region filled up the links of its small machines.
TEST_CASE("requests are passed on to VMs by what their machines bear")
{
    placing_fixture fixture;
    known_vm small;
    small.report.vm = vm_name("small");
    small.report.region = there;
    small.report.inner = {"10.0.1.1", 7000};
    small.report.ready = true;
    small.report.capacity = 1'000;
    auto large = small;
    large.report.vm = vm_name("large");
    large.report.inner = {"10.0.1.2", 7000};
    large.report.capacity = 7'000;
    fixture.placing.set_vms(known_vms_of({small, large}));
    fixture.send("a", 40'000);
    fixture.send("b", 40'000);

    int to_large = 0;
    constexpr int requests = 800;
    for (int number = 0; number < requests; ++number) {
        const auto placed = fixture.place(fixture.request(100));
        REQUIRE(placed.verdict == placing_verdict::other_region);
        to_large += placed.address == large.report.inner ? 1 : 0;
    }
    CHECK(to_large > requests * 3 / 4);
    CHECK(to_large < requests);
}
