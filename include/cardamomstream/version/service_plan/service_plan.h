/// One published plan with the look-ups that every request needs.
#pragma once

#include "cardamomstream/version/service_plan/service_plan_types.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// The host in lower case, in which hosts are compared.
std::string canonical_host(std::string_view host);

/// Immutable; shared by the requests that were admitted under it.
class service_plan {
public:
    explicit service_plan(service_plan_document document);

    version_number version() const noexcept { return m_document.version; }
    /// The hosts of its routes are canonical.
    const service_plan_document& document() const noexcept { return m_document; }

    /// The route of that host with the longest prefix of the path; null when there is none. Letters of the
    /// host count as equal in either case.
    const plan_route* find_route(std::string_view host, std::string_view path) const;
    const plan_route* find_route(const route_name& name) const;

    /// The customer that holds the key; null when no customer does.
    const plan_customer* find_customer_by_key(const std::string& key) const;
    const plan_customer* find_customer(const customer_name& name) const;
    const plan_service* find_service(const pool_name& name) const;

    /// True when the plan names customers, so that routes ask for a key unless they are open to all.
    bool has_customers() const noexcept { return !m_document.customers.empty(); }

private:
    service_plan_document m_document;
    std::unordered_map<std::string, std::vector<const plan_route*>>
        m_routes_by_host; ///< longest prefix first
    std::unordered_map<std::string, const plan_customer*> m_customers_by_key;
    std::unordered_map<pool_name, const plan_service*> m_services;
};

/// The homes of a request's route and of its customer, by one plan.
struct residency {
    const plan_route* route = nullptr;       ///< null: binds nothing
    const plan_customer* customer = nullptr; ///< null: binds nothing

    /// True when both let a request be served in the region.
    bool permits(const region_name& region) const;

    /// True when either names homes.
    bool binds() const;
};

/// True when both the route and the customer let a request be served in the region.
bool may_run_in(const region_name& region, const plan_route& route, const plan_customer* customer);

/// Keeps the newest plan. A plan that is not newer than the one in force is never taken, whatever its source.
class plan_in_force {
public:
    /// True when `candidate` is now in force.
    bool offer(std::shared_ptr<const service_plan> candidate);
    const std::shared_ptr<const service_plan>& get() const noexcept { return m_plan; }

private:
    std::shared_ptr<const service_plan> m_plan;
};

} // namespace cardamomstream
