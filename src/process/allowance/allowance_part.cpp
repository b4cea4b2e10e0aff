#include "cardamomstream/process/allowance_part.h"

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

} // namespace cardamomstream
