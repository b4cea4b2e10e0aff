#include "serving_answers.h"

#include "request_target.h"

#include <algorithm>
#include <random>

#include <boost/json.hpp>

namespace cardamomstream {

namespace {

namespace json = boost::json;

struct entry_vm {
    vm_name vm;
    region_name region;
    endpoint entry;
};

std::vector<entry_vm> entry_vms(const request_context& context)
{
    const auto& config = context.parts.config;
    std::vector<entry_vm> vms;
    if (!context.parts.stopping) {
        vms.push_back({config.vm, config.region, config.listeners.entry});
    }
    for (const auto& [name, contact] : context.view->vms) {
        if (contact.usable && !contact.suspected) {
            vms.push_back({name, contact.region, contact.entry});
        }
    }
    const auto permitted = context.permitted_regions();
    std::erase_if(vms, [&](const auto& vm) { return !permitted.empty() && !permitted.contains(vm.region); });
    thread_local std::mt19937_64 random{std::random_device{}()};
    std::shuffle(vms.begin(), vms.end(), random); // spreads callers over the VMs of the region
    std::stable_partition(vms.begin(), vms.end(), [&](const auto& vm) { return vm.region == config.region; });
    return vms;
}

json::array issue_tickets(request_context& context)
{
    json::array tickets;
    for (const auto& [name, route] : context.view->rules->routes) {
        if (route.repeat != repeat_policy::at_most_once || !may_use(route.customers, context.customer)) {
            continue;
        }
        const auto issued = context.parts.tickets.with_lock([&, route_name = name](ticket_book& book) {
            return book.issue(context.customer, route_name, boot_clock::now());
        });
        if (!issued) {
            continue;
        }
        context.parts.counters.tickets.increment(ticket_step::issued);
        context.record(event_kind::ticket_issued, {{"route", name.str()}});
        tickets.push_back(json::object{{"route", name.str()},
                                       {"path", route.path},
                                       {"ticket", issued.value().text},
                                       {"usable_for_ms", issued.value().usable_for.count()}});
    }
    return tickets;
}

http_response json_response(const request_context& context, const json::value& body)
{
    return {{200, {{"Content-Type", "application/json"}, {"X-Request-Id", context.id.str()}}},
            json::serialize(body)};
}

} // namespace

http_response entry_response(request_context& context)
{
    json::array entries;
    for (const auto& vm : entry_vms(context)) {
        entries.push_back(
            json::object{{"vm", vm.vm.str()}, {"region", vm.region.str()}, {"address", vm.entry.str()}});
    }
    json::object body{{"entries", std::move(entries)}, {"version", context.view->rules->version}};
    if (!context.customer.empty() && !context.parts.stopping) {
        body["tickets"] = issue_tickets(context);
    }
    return json_response(context, body);
}

http_response models_response(const request_context& context)
{
    json::array models;
    for (const auto& [name, model] : context.view->rules->models) {
        if (may_use(model.customers, context.customer)) {
            models.push_back(json::object{{"id", name.str()}, {"object", "model"}});
        }
    }
    return json_response(context, json::object{{"object", "list"}, {"data", std::move(models)}});
}

} // namespace cardamomstream
