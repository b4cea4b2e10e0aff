#include "cardamomstream/process/deployment/entry_weights.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

endpoint vm(std::uint16_t port)
{
    return {"10.0.0.1", port};
}

std::size_t times(const std::vector<endpoint>& addresses, std::uint16_t port)
{
    return static_cast<std::size_t>(std::count(addresses.begin(), addresses.end(), vm(port)));
}

constexpr std::uint16_t large = 1;

/// One VM of half a core and 200 Mbit/s beside so many of 0.12 cores and 10 Mbit/s.
std::vector<weighted_entry> one_large_among(std::uint16_t small)
{
    std::vector<weighted_entry> entries{{vm(large), vm_capacity(0.5, 200)}};
    for (std::uint16_t number = 0; number < small; ++number) {
        entries.push_back({vm(static_cast<std::uint16_t>(large + 1 + number)), vm_capacity(0.12, 10)});
    }
    return entries;
}

} // namespace

// Callers were spread evenly over machines of 10 and of 200 Mbit/s: in bursts, requests waited for seconds on
// the small links, and news of the store came late there.
TEST_CASE("entry answers name VMs by what their machines bear")
{
    SECTION("a large machine several times, a small one once")
    {
        const auto named = weigh_entries(one_large_among(12), 64);
        CHECK(times(named, large) == 8);
        CHECK(times(named, large + 1) == 1);
        CHECK(named.size() == 20);
    }
    SECTION("equal machines alike")
    {
        const std::vector<weighted_entry> equal{{vm(1), vm_capacity(0.25, 1'000)},
                                                {vm(2), vm_capacity(0.25, 1'000)}};
        CHECK(weigh_entries(equal, 64) == std::vector<endpoint>{vm(1), vm(2)});
    }
    SECTION("no VM is left out for the weight of another")
    {
        const auto named = weigh_entries(one_large_among(60), 64);
        CHECK(named.size() == 64);
        CHECK(times(named, large) == 4);
        CHECK(times(named, large + 60) == 1);
    }
    SECTION("no answer is longer than callers use")
    {
        CHECK(weigh_entries(one_large_among(100), 64).size() == 64);
    }
    SECTION("a VM of an earlier version, which states nothing, counts as a small one")
    {
        auto entries = one_large_among(1);
        entries.push_back({vm(9), 0});
        CHECK(times(weigh_entries(entries, 64), 9) == 1);
        CHECK(weigh_entries({{vm(8), 0}, {vm(9), 0}}, 64) == std::vector<endpoint>{vm(8), vm(9)});
    }
    SECTION("a machine without any limit that makes sense has a capacity all the same")
    {
        CHECK(vm_capacity(0, 0) >= 1);
        CHECK(vm_capacity(1e9, 1e9) >= 1);
    }
}
