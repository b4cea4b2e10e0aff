#include "cardamomstream/request/quota/fleet_quota.h"

#include <algorithm>
#include <array>
#include <deque>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const customer_name busy("busy");

service_plan plan_of(double rate, double burst)
{
    plan_customer customer;
    customer.name = busy;
    customer.allowance = {rate > 0, true, rate, burst, 1};
    service_plan_document document;
    document.customers = {customer};
    return service_plan(document);
}

/// Simulates a customer that sends far above its rate to every VM at once, and returns the largest amount
/// admitted in any window of eight seconds.
double max_window_total(std::size_t vms, bool partitioned, std::chrono::milliseconds report_interval)
{
    constexpr auto tick = 10ms;
    constexpr auto window = 8s;
    constexpr double request = 1'000;
    const auto plan = plan_of(100'000, 100'000);
    std::vector<fleet_quota> fleet(vms);
    const time_point start{1'000s};
    for (auto& vm : fleet) {
        vm.set_plan(plan, start);
        vm.set_fleet_size(partitioned ? 0 : vms - 1, vms - 1);
    }
    std::deque<std::pair<time_point, double>> admitted;
    double window_total = 0;
    double max_total = 0;
    for (auto now = start; now < start + 30s; now += tick) {
        for (auto& vm : fleet) {
            // Seven times the rate, summed over all VMs.
            for (double sent = 0; sent < 7'000.0 / static_cast<double>(vms); sent += request) {
                if (vm.admit(busy, request, now)) {
                    admitted.emplace_back(now, request);
                    window_total += request;
                }
            }
        }
        while (!admitted.empty() && now - admitted.front().first >= window) {
            window_total -= admitted.front().second;
            admitted.pop_front();
        }
        max_total = std::max(max_total, window_total);
        if (!partitioned && (now - start) % report_interval == 0ms) {
            for (std::size_t from = 0; from < vms; ++from) {
                vm_report report;
                report.vm = vm_name(std::to_string(from));
                report.process = {1};
                report.sequence = static_cast<std::uint64_t>((now - start) / report_interval) + 1;
                report.uses = fleet[from].uses();
                for (std::size_t to = 0; to < vms; ++to) {
                    if (to != from) {
                        fleet[to].apply_report(report);
                    }
                }
            }
        }
    }
    return max_total;
}

} // namespace

TEST_CASE("a customer sends seven times its rate to every VM")
{
    // Required limit for a window of eight seconds: rate x 8 + burst, plus a quarter, plus 140,000.
    constexpr double bound = (100'000.0 * 8 + 100'000) * 1.25 + 140'000;
    SECTION("eight VMs that receive each other's reports")
    {
        CHECK(max_window_total(8, false, 200ms) <= bound);
    }
    SECTION("eight VMs that are all partitioned from each other")
    {
        CHECK(max_window_total(8, true, 200ms) <= bound);
    }
    SECTION("reports at a longer interval")
    {
        CHECK(max_window_total(8, false, 400ms) <= bound);
    }
}

TEST_CASE("a customer within its rate is never refused")
{
    fleet_quota quota;
    const time_point start{1'000s};
    quota.set_plan(plan_of(10'000, 10'000), start);
    bool refused = false;
    for (auto now = start; now < start + 20s; now += 100ms) {
        refused = refused || !quota.admit(busy, 900, now);
    }
    CHECK_FALSE(refused);
}

TEST_CASE("the allowance changes")
{
    fleet_quota quota;
    const time_point start{1'000s};
    SECTION("from unlimited to limited: what was admitted before does not count against the limit")
    {
        quota.set_plan(plan_of(0, 0), start);
        CHECK(quota.admit(busy, 1e9, start));
        quota.set_plan(plan_of(10'000, 10'000), start + 1s);
        CHECK(quota.admit(busy, 100, start + 1s));
    }
    SECTION("a refund makes room for the next request")
    {
        quota.set_plan(plan_of(10'000, 10'000), start);
        CHECK(quota.admit(busy, 6'000, start));
        CHECK_FALSE(quota.admit(busy, 1, start));
        quota.refund(busy, 6'000);
        CHECK(quota.admit(busy, 1, start));
    }
    SECTION("a refund is also applied by VMs to which the admission was reported before")
    {
        fleet_quota other;
        quota.set_plan(plan_of(10'000, 10'000), start);
        other.set_plan(plan_of(10'000, 10'000), start);
        vm_report report;
        report.vm = vm_name("vm");
        report.process = {1};
        const auto send_report = [&] {
            report.sequence += 1;
            report.uses = quota.uses();
            other.apply_report(report);
        };
        send_report();
        CHECK(quota.admit(busy, 6'000, start));
        send_report();
        CHECK_FALSE(other.admit(busy, 1, start));
        quota.refund(busy, 6'000);
        send_report();
        CHECK(other.admit(busy, 1, start));
    }
    SECTION("the retry time is when the level reaches zero")
    {
        quota.set_plan(plan_of(10'000, 10'000), start);
        CHECK(quota.admit(busy, 25'000, start));
        CHECK(quota.time_to_admit(busy, start) == 2s);
    }
}

TEST_CASE("another data centre's admissions are reported as a sum, by two VMs in turn")
{
    const time_point start{1'000s};
    fleet_quota quota;
    quota.set_plan(plan_of(1'000, 1'000), start);
    quota.set_fleet_size(10, 10);
    const auto summary = [](const std::string& reporter, double admitted) {
        vm_report report;
        report.vm = vm_name(reporter);
        report.process = {1};
        report.data_centre = data_centre_name("kurzeme-a");
        report.summary.emplace();
        report.uses = {{busy, admitted}};
        return report;
    };
    quota.apply_report(summary("a", 50'000));
    REQUIRE(quota.admit(busy, 0, start));

    SECTION("what was admitted there is subtracted here")
    {
        quota.apply_report(summary("a", 52'000));
        CHECK_FALSE(quota.admit(busy, 0, start));
    }
    SECTION("a change of the reporting VM, whose sum began at another time, subtracts nothing twice")
    {
        quota.apply_report(summary("b", 90'000));
        CHECK(quota.admit(busy, 0, start));
        quota.apply_report(summary("a", 52'000));
        CHECK(quota.admit(busy, 0, start));
        SECTION("and the next report counts from that baseline")
        {
            quota.apply_report(summary("a", 54'000));
            CHECK_FALSE(quota.admit(busy, 0, start));
        }
    }
}
