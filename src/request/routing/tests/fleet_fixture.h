/// Test fixture: a fleet of the regions riga, kurzeme and latgale with the pool drafting.
#pragma once

#include "cardamomstream/request/routing.h"

#include <memory>
#include <random>
#include <string>

namespace cardamomstream {

inline const region_name riga{"riga"};
inline const region_name kurzeme{"kurzeme"};
inline const region_name latgale{"latgale"};
inline const pool_name drafting{"drafting"};

struct fleet_fixture {
    rules current;
    vm_list list;
    routing_view view;
    time_point now{std::chrono::hours{1}};
    std::mt19937_64 random{7};

    fleet_fixture()
    {
        for (const auto& region : {riga, kurzeme, latgale}) {
            current.regions[region] = {};
            current.vms[vm_name{"vm-" + region.str()}].region = region;
        }
        current.pools[drafting] = {};
        for (const auto& [from, to] : {std::pair{riga, kurzeme}, {riga, latgale}, {kurzeme, riga}}) {
            current.links[from.str() + "-" + to.str()] = {from, to, 10};
        }
    }

    upstream_name add(const std::string& name, const region_name& region, std::uint32_t slots = 4)
    {
        list.upstreams[upstream_name{name}] = {drafting,           region, {},   {"127.0.0.1", 1},
                                               listed_state::live, slots,  false};
        return upstream_name{name};
    }

    void add_region_load(const region_name& region, double in_flight, double slots)
    {
        view.peers.push_back({vm_name{"vm-" + region.str()}, region});
        view.loads[{region, drafting}] = {in_flight, 0, slots, {}, std::chrono::milliseconds{160}};
    }

    /// Publishes the view, then advances the time so that the link budgets, which start empty, fill.
    void publish_and_fill(router& target)
    {
        publish(target);
        now += std::chrono::seconds{2};
    }

    void publish(router& target)
    {
        view.rules = std::make_shared<rules>(current);
        view.list = std::make_shared<vm_list>(list);
        target.update(view, now);
    }

    route_query query(token_count prompt = 100) const
    {
        route_query value;
        value.pool = drafting;
        value.prompt_tokens = prompt;
        return value;
    }

    result<route_choice> choose(router& target, const route_query& value)
    {
        return target.choose(value, now, random);
    }

    /// Starts `count` requests as the router chooses and leaves them running.
    void load_with(router& target, int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto choice = choose(target, query(0)).value();
            target.started(choice, query(0), now);
        }
    }

    static bool noted(const route_choice& choice, route_reason reason)
    {
        for (const auto& note : choice.notes) {
            if (note.reason == reason) {
                return true;
            }
        }
        return false;
    }
};

} // namespace cardamomstream
