/// How often entry answers name each VM, by what its machine bears.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cardamomstream {

/// Capacity of a VM, to be compared with others; never 0. Processor and link count alike: which of them a VM
/// runs out of first depends on what its callers send.
std::uint32_t vm_capacity(double processor_cores, double link_mbps);

/// The capacity from which on a machine counts as a large one among these: half that of the one that is
/// `place` in descending order, from 1 on; 0 when there are fewer.
std::uint32_t least_large_capacity(std::vector<std::uint32_t> capacities, std::size_t place);

/// An address that an entry answer may name.
struct weighted_entry {
    endpoint address;
    std::uint32_t capacity = 0; ///< 0: unknown, as with the smallest
};

/// Addresses for callers who pick one of them at random. A VM with several times the capacity of the smallest
/// is named that many times, so that callers don't crowd the small machines while the large ones have room.
/// Never more than `max_addresses`: weights are lowered first, then VMs left out.
std::vector<endpoint> weigh_entries(const std::vector<weighted_entry>& entries, std::size_t max_addresses);

} // namespace cardamomstream
