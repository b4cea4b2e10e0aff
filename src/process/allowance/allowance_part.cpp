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

double region_fraction(const std::map<region_name, double>& region_sizes, const customer_rule& customer,
                       const region_name& region)
{
    double weight_sum = 0;
    std::size_t permitted_regions = 0;
    for (const auto& [other, size] : region_sizes) {
        if (!permits(customer, other)) {
            continue;
        }
        weight_sum += weight_of(customer, other);
        ++permitted_regions;
    }
    if (weight_sum > 0) {
        return weight_of(customer, region) / weight_sum;
    }
    return 1 / static_cast<double>(permitted_regions);
}

bool same_vm_and_region(const std::pair<const vm_name, vm_rule>& left,
                        const std::pair<const vm_name, vm_rule>& right)
{
    return left.first == right.first && left.second.region == right.second.region;
}

bool same_allowance(const std::pair<const customer_name, customer_rule>& left,
                    const std::pair<const customer_name, customer_rule>& right)
{
    const customer_rule& left_rule = left.second;
    const customer_rule& right_rule = right.second;
    return left.first == right.first && left_rule.rate == right_rule.rate &&
           left_rule.burst == right_rule.burst && left_rule.regions == right_rule.regions &&
           left_rule.demand_shares == right_rule.demand_shares;
}

} // namespace

std::map<region_name, double> count_vms_by_region(const rules& published)
{
    std::map<region_name, double> region_sizes;
    for (const auto& [vm, rule] : published.vms) {
        region_sizes[rule.region] += 1;
    }
    return region_sizes;
}

bool permits(const customer_rule& customer, const region_name& region)
{
    return customer.regions.empty() || customer.regions.contains(region);
}

bucket_share base_part(const rules& published, const std::map<region_name, double>& region_sizes,
                       const customer_rule& customer, const vm_name& vm)
{
    const auto roster_entry = published.vms.find(vm);
    if (roster_entry == published.vms.end() || !permits(customer, roster_entry->second.region)) {
        return {};
    }
    const region_name& region = roster_entry->second.region;
    const double fraction = region_fraction(region_sizes, customer, region) / region_sizes.at(region);
    return {{customer.rate.per_second * fraction}, static_cast<double>(customer.burst) * fraction, 0};
}

bool same_parts(const rules& left, const rules& right)
{
    return std::equal(left.vms.begin(), left.vms.end(), right.vms.begin(), right.vms.end(),
                      same_vm_and_region) &&
           std::equal(left.customers.begin(), left.customers.end(), right.customers.begin(),
                      right.customers.end(), same_allowance);
}

} // namespace cardamomstream
