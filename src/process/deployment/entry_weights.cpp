#include "cardamomstream/process/deployment/entry_weights.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace cardamomstream {

namespace {

/// No VM takes the callers of more than so many of the smallest ones: its loss would be felt too much.
constexpr std::uint32_t max_weight = 8;

constexpr double capacity_scale = 1'000; ///< of one core and one Mbit/s
constexpr double max_capacity = 1e9;

std::uint32_t weight_of(const weighted_entry& entry, std::uint32_t smallest, std::uint32_t most)
{
    if (entry.capacity == 0 || smallest == 0) {
        return 1;
    }
    const auto ratio = std::lround(static_cast<double>(entry.capacity) / smallest);
    return static_cast<std::uint32_t>(std::clamp<long>(ratio, 1, static_cast<long>(most)));
}

} // namespace

std::uint32_t vm_capacity(double processor_cores, double link_mbps)
{
    return static_cast<std::uint32_t>(
        std::clamp(std::sqrt(processor_cores * link_mbps) * capacity_scale, 1.0, max_capacity));
}

std::uint32_t least_large_capacity(std::vector<std::uint32_t> capacities, std::size_t place)
{
    if (place == 0 || capacities.size() < place) {
        return 0;
    }
    const auto nth = capacities.begin() + static_cast<std::ptrdiff_t>(place - 1);
    std::nth_element(capacities.begin(), nth, capacities.end(), std::greater<>());
    return *nth / 2;
}

std::vector<endpoint> weigh_entries(const std::vector<weighted_entry>& entries, std::size_t max_addresses)
{
    std::uint32_t smallest = 0;
    for (const auto& entry : entries) {
        if (entry.capacity > 0) {
            smallest = smallest == 0 ? entry.capacity : std::min(smallest, entry.capacity);
        }
    }
    const auto named = [&](std::uint32_t most) {
        return std::accumulate(entries.begin(), entries.end(), std::size_t{0},
                               [&](std::size_t sum, const weighted_entry& entry) {
                                   return sum + weight_of(entry, smallest, most);
                               });
    };
    auto most = max_weight;
    while (most > 1 && named(most) > max_addresses) {
        most -= 1;
    }
    std::vector<endpoint> addresses;
    for (const auto& entry : entries) {
        const auto left = max_addresses - std::min(max_addresses, addresses.size());
        addresses.insert(addresses.end(), std::min<std::size_t>(left, weight_of(entry, smallest, most)),
                         entry.address);
    }
    return addresses;
}

} // namespace cardamomstream
