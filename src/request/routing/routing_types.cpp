#include "cardamomstream/request/routing_types.h"

#include <algorithm>

#include <xxhash.h>

namespace cardamomstream {

std::string_view code_of(route_reason reason) noexcept
{
    switch (reason) {
    case route_reason::region_not_permitted:
        return "region_not_permitted";
    case route_reason::local_only:
        return "local_only";
    case route_reason::upstream_leaving:
        return "upstream_leaving";
    case route_reason::upstream_suspected:
        return "upstream_suspected";
    case route_reason::upstream_at_limit:
        return "upstream_at_limit";
    case route_reason::upstream_tried:
        return "upstream_tried";
    case route_reason::probe:
        return "probe";
    case route_reason::all_suspected:
        return "all_suspected";
    case route_reason::slow_start:
        return "slow_start";
    case route_reason::prefix_affinity:
        return "prefix_affinity";
    case route_reason::lowest_cost:
        return "lowest_cost";
    case route_reason::home_meets_target:
        return "home_meets_target";
    case route_reason::home_misses_target:
        return "home_misses_target";
    case route_reason::region_misses_target:
        return "region_misses_target";
    case route_reason::region_without_data:
        return "region_without_data";
    case route_reason::link_budget_exhausted:
        return "link_budget_exhausted";
    case route_reason::no_peer:
        return "no_peer";
    case route_reason::sent_away:
        return "sent_away";
    }
    return "unknown";
}

std::uint64_t prefix_digest_of(std::string_view prefix) noexcept
{
    return std::max<std::uint64_t>(1, XXH3_64bits(prefix.data(), prefix.size()));
}

} // namespace cardamomstream
