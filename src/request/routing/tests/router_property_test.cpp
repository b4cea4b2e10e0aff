#include "fleet_fixture.h"

#include <array>
#include <cstdlib>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cardamomstream;

namespace {

const std::array<region_name, 3> regions{riga, kurzeme, latgale};

std::set<region_name> random_regions()
{
    std::set<region_name> chosen;
    for (const auto& region : regions) {
        if (*rc::gen::arbitrary<bool>()) {
            chosen.insert(region);
        }
    }
    return chosen;
}

void random_view(fleet_fixture& fleet)
{
    for (const auto& region : regions) {
        const int upstreams = *rc::gen::inRange(0, 4);
        for (int i = 0; i < upstreams; ++i) {
            const auto name = fleet.add(region.str() + std::to_string(i), region, *rc::gen::inRange(1U, 5U));
            const bool leaving = *rc::gen::inRange(0, 4) == 0;
            fleet.list.upstreams[name].state = leaving ? listed_state::leaving : listed_state::live;
        }
        if (region != riga && *rc::gen::arbitrary<bool>()) {
            fleet.add_region_load(region, *rc::gen::inRange(0, 30), 8);
        }
    }
}

route_query random_query(const fleet_fixture& fleet)
{
    auto query = fleet.query(*rc::gen::inRange(0, 20'000));
    query.permitted = random_regions();
    query.origin = *rc::gen::element(request_origin::caller, request_origin::peer);
    query.hop_count = *rc::gen::inRange(0U, 3U);
    query.regions_passed = *rc::gen::container<std::vector<region_name>>(*rc::gen::inRange<std::size_t>(0, 3),
                                                                         rc::gen::elementOf(regions));
    query.queue_wait = std::chrono::milliseconds{*rc::gen::inRange(0, 5'000)};
    return query;
}

bool is_allowed(const fleet_fixture& fleet, const route_query& query, const route_choice& choice)
{
    const bool permitted = query.permitted.empty() || query.permitted.contains(choice.region);
    if (choice.action == route_action::forward) {
        return permitted && choice.region != riga && query.origin == request_origin::caller &&
               query.hop_count == 0;
    }
    if (choice.action == route_action::wait) {
        return permitted && choice.region == riga;
    }
    const auto& listed = fleet.list.upstreams.at(choice.upstream);
    return permitted && listed.region == riga && choice.region == riga && listed.state == listed_state::live;
}

} // namespace

TEST_CASE("random views never violate residency or the limit of one hop")
{
    setenv("RC_PARAMS", "seed=20261203 max_success=1000", 1);
    CHECK(rc::check([] {
        fleet_fixture fleet;
        random_view(fleet);
        router riga_router{riga, {}};
        fleet.publish(riga_router);
        const int steps = *rc::gen::inRange(1, 20);
        for (int i = 0; i < steps; ++i) {
            const auto query = random_query(fleet);
            const auto choice = fleet.choose(riga_router, query);
            if (!choice) {
                RC_ASSERT(choice.error().outcome == run_outcome::not_run);
                continue;
            }
            RC_ASSERT(is_allowed(fleet, query, choice.value()));
            const auto attempt = riga_router.started(choice.value(), query, fleet.now);
            if (*rc::gen::inRange(0, 4) == 0) {
                riga_router.failed(attempt, attempt_failure::connect, fleet.now, fleet.random);
            }
            fleet.now += std::chrono::milliseconds{*rc::gen::inRange(0, 2'000)};
        }
    }));
}
