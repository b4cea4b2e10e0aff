#include "cardamomstream/process/allowance_part.h"

#include "part_history.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

rules three_regions()
{
    rules published;
    for (const char* vm : {"riga-1", "riga-2", "kurzeme-1", "kurzeme-2", "latgale-1"}) {
        const std::string name = vm;
        published.vms[vm_name{name}].region = region_name{name.substr(0, name.find('-'))};
    }
    return published;
}

bucket_share sum_of_parts(const rules& published, const customer_rule& customer)
{
    bucket_share sum;
    for (const auto& [vm, rule] : published.vms) {
        const bucket_share part = base_part(published, count_vms_by_region(published), customer, vm);
        sum.rate.per_second += part.rate.per_second;
        sum.burst += part.burst;
    }
    return sum;
}

} // namespace

TEST_CASE("the fixed parts of all VMs sum to the bucket")
{
    const rules published = three_regions();
    customer_rule customer;
    customer.rate = {400};
    customer.burst = 1200;
    const auto burst_at = [&](const char* vm) {
        return base_part(published, count_vms_by_region(published), customer, vm_name{vm}).burst;
    };

    SECTION("equal between regions when no weights are given")
    {
        CHECK(burst_at("riga-1") == Approx(200));
        CHECK(burst_at("latgale-1") == Approx(400));
    }
    SECTION("by weight when weights are given")
    {
        customer.demand_shares = {{region_name{"riga"}, 3}, {region_name{"latgale"}, 1}};
        CHECK(burst_at("riga-1") == Approx(450));
        CHECK(burst_at("kurzeme-1") == 0);
    }
    SECTION("only in the regions of its residency")
    {
        customer.regions = {region_name{"kurzeme"}};
        CHECK(burst_at("kurzeme-1") == Approx(600));
        CHECK(burst_at("riga-1") == 0);
    }
    SECTION("with weights that name no permitted region")
    {
        customer.regions = {region_name{"kurzeme"}};
        customer.demand_shares = {{region_name{"riga"}, 1}};
        CHECK(burst_at("kurzeme-2") == Approx(600));
    }
    const bucket_share sum = sum_of_parts(published, customer);
    CHECK(sum.burst == Approx(1200));
    CHECK(sum.rate.per_second == Approx(400));
}

TEST_CASE("the minimum part of all versions that may be in force applies")
{
    part_history history;
    history.add(1, {{10}, 30, 0});
    history.add(3, {{20}, 15, 0});
    history.add(5, {{30}, 60, 0});
    CHECK(history.minimum().rate.per_second == 10);
    CHECK(history.minimum().burst == 15);

    SECTION("until no process runs the older ones")
    {
        history.forget_before(4);
        CHECK(history.minimum().rate.per_second == 20);
        history.forget_before(5);
        CHECK(history.minimum().burst == 60);
    }
    SECTION("also when many versions are merged")
    {
        for (version_number version = 6; version < 40; ++version) {
            history.add(version, {{100.0 + static_cast<double>(version)}, 100, 0});
        }
        CHECK(history.minimum().rate.per_second == 10);
        history.forget_before(39);
        CHECK(history.minimum().rate.per_second == 139);
    }
}
