#include "cardamomstream/process/allowance_part.h"

#include <algorithm>

namespace cardamomstream {

namespace {

double weight_of(const customer_rule& customer, const region_name& region)
{
    if (customer.demand_shares.empty()) {
        return 1;
    }
    const auto found = customer.demand_shares.find(region);
    return found == customer.demand_shares.end() ? 0 : found->second;
}

double region_fraction(const std::map<region_name, double>& sizes, const customer_rule& customer,
                       const region_name& region)
{
    double weights = 0;
    std::size_t permitted = 0;
    for (const auto& [other, size] : sizes) {
        if (!permits(customer, other)) {
            continue;
        }
        weights += weight_of(customer, other);
        ++permitted;
    }
    if (weights > 0) {
        return weight_of(customer, region) / weights;
    }
    return 1 / static_cast<double>(permitted);
}

bool same_slot(const std::pair<const vm_name, vm_rule>& left, const std::pair<const vm_name, vm_rule>& right)
{
    return left.first == right.first && left.second.region == right.second.region;
}

bool same_allowance(const std::pair<const customer_name, customer_rule>& left,
                    const std::pair<const customer_name, customer_rule>& right)
{
    const customer_rule& one = left.second;
    const customer_rule& other = right.second;
    return left.first == right.first && one.rate == other.rate && one.burst == other.burst &&
           one.regions == other.regions && one.demand_shares == other.demand_shares;
}

} // namespace

std::map<region_name, double> roster_sizes(const rules& published)
{
    std::map<region_name, double> sizes;
    for (const auto& [vm, rule] : published.vms) {
        sizes[rule.region] += 1;
    }
    return sizes;
}

bool permits(const customer_rule& customer, const region_name& region)
{
    return customer.regions.empty() || customer.regions.contains(region);
}

bucket_share base_part(const rules& published, const std::map<region_name, double>& sizes,
                       const customer_rule& customer, const vm_name& vm)
{
    const auto slot = published.vms.find(vm);
    if (slot == published.vms.end() || !permits(customer, slot->second.region)) {
        return {};
    }
    const region_name& region = slot->second.region;
    const double fraction = region_fraction(sizes, customer, region) / sizes.at(region);
    return {{customer.rate.per_second * fraction}, static_cast<double>(customer.burst) * fraction, 0};
}

bool same_parts(const rules& left, const rules& right)
{
    return std::equal(left.vms.begin(), left.vms.end(), right.vms.begin(), right.vms.end(), same_slot) &&
           std::equal(left.customers.begin(), left.customers.end(), right.customers.begin(),
                      right.customers.end(), same_allowance);
}

} // namespace cardamomstream
