#include "cardamomstream/version/service_plan/service_plan.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

bool contains(const std::vector<region_name>& regions, const region_name& region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

std::string canonical_host(std::string_view host)
{
    std::string canonical(host);
    std::transform(canonical.begin(), canonical.end(), canonical.begin(), [](char letter) {
        constexpr char to_lower = 'a' - 'A';
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + to_lower) : letter;
    });
    return canonical;
}

service_plan::service_plan(service_plan_document document)
    : m_document(std::move(document))
{
    for (auto& route : m_document.routes) {
        route.host = canonical_host(route.host);
        m_routes_by_host[route.host].push_back(&route);
    }
    for (auto& [host, routes] : m_routes_by_host) {
        std::stable_sort(routes.begin(), routes.end(), [](const plan_route* one, const plan_route* other) {
            return one->path_prefix.size() > other->path_prefix.size();
        });
    }
    for (const auto& customer : m_document.customers) {
        for (const auto& key : customer.keys) {
            m_customers_by_key.emplace(key, &customer);
        }
    }
    for (const auto& service : m_document.services) {
        m_services.emplace(service.name, &service);
    }
}

const plan_route* service_plan::find_route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes_by_host.find(canonical_host(host));
    if (found == m_routes_by_host.end()) {
        return nullptr;
    }
    const auto& routes = found->second;
    const auto match = std::find_if(routes.begin(), routes.end(), [&](const plan_route* route) {
        return path.substr(0, route->path_prefix.size()) == route->path_prefix;
    });
    return match == routes.end() ? nullptr : *match;
}

const plan_route* service_plan::find_route(const route_name& name) const
{
    const auto& routes = m_document.routes;
    const auto found = std::find_if(routes.begin(), routes.end(),
                                    [&](const plan_route& route) { return route.name == name; });
    return found == routes.end() ? nullptr : &*found;
}

const plan_customer* service_plan::find_customer_by_key(const std::string& key) const
{
    const auto found = m_customers_by_key.find(key);
    return found == m_customers_by_key.end() ? nullptr : found->second;
}

const plan_customer* service_plan::find_customer(const customer_name& name) const
{
    const auto& customers = m_document.customers;
    const auto found = std::find_if(customers.begin(), customers.end(),
                                    [&](const plan_customer& customer) { return customer.name == name; });
    return found == customers.end() ? nullptr : &*found;
}

const plan_service* service_plan::find_service(const pool_name& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

bool residency::permits(const region_name& region) const
{
    const auto bound_elsewhere = [&](const std::vector<region_name>& homes) {
        return !homes.empty() && !contains(homes, region);
    };
    return !(route != nullptr && bound_elsewhere(route->home_regions)) &&
           !(customer != nullptr && bound_elsewhere(customer->home_regions));
}

bool residency::binds() const
{
    return (route != nullptr && !route->home_regions.empty()) ||
           (customer != nullptr && !customer->home_regions.empty());
}

bool may_run_in(const region_name& region, const plan_route& route, const plan_customer* customer)
{
    return residency{&route, customer}.permits(region);
}

bool plan_in_force::offer(std::shared_ptr<const service_plan> candidate)
{
    if (!candidate || (m_plan && candidate->version() <= m_plan->version())) {
        return false;
    }
    m_plan = std::move(candidate);
    return true;
}

} // namespace cardamomstream
