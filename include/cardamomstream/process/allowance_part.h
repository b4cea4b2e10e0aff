/// The fixed part that each VM of the roster holds of each customer's bucket, a pure function of the rules.
#pragma once

#include "cardamomstream/process/allowance_types.h"
#include "cardamomstream/version/rules_types.h"

#include <map>

namespace cardamomstream {

/// Number of roster VMs in each region that has one.
std::map<region_name, double> count_vms_by_region(const rules& published);

/// Whether the customer's residency permits the region.
bool permits(const customer_rule& customer, const region_name& region);

/// Part of `vm` in the customer's bucket, level zero. The customer's weights decide between the permitted
/// regions that have a VM, the VMs of one region hold equal parts. The parts of all VMs sum to the bucket.
bucket_share base_part(const rules& published, const std::map<region_name, double>& region_sizes,
                       const customer_rule& customer, const vm_name& vm);

/// Whether every VM has the same part of every customer's bucket in both.
bool same_parts(const rules& left, const rules& right);

} // namespace cardamomstream
