/// Each roster VM's fixed part of each customer's token bucket; depends on the rules alone.
#pragma once

#include "cardamomstream/process/allowance_types.h"
#include "cardamomstream/version/rules_types.h"

#include <map>

namespace cardamomstream {

/// Number of roster VMs in each region that has any.
std::map<region_name, double> count_vms_by_region(const rules& published);

/// Whether the customer's residency permits the region.
bool permits(const customer_rule& customer, const region_name& region);

/// Part of `vm` in the customer's bucket, with level zero. `demand_shares` weights the permitted regions that
/// have a VM; the VMs of one region hold equal parts. The parts of all VMs sum to the whole bucket.
bucket_share base_part(const rules& published, const std::map<region_name, double>& region_sizes,
                       const customer_rule& customer, const vm_name& vm);

/// Whether both rules give every VM the same part of every customer's bucket.
bool same_parts(const rules& left, const rules& right);

} // namespace cardamomstream
