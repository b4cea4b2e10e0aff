#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

const std::vector<std::string> all_vms{"riga-a", "riga-b", "kurzeme-a", "kurzeme-b"};

int failures_during(const endpoint& vm, std::chrono::seconds duration)
{
    const auto deadline = std::chrono::steady_clock::now() + duration;
    int failures = 0;
    for (int i = 0; std::chrono::steady_clock::now() < deadline; ++i) {
        const auto served = send_once(vm, chat_call(keys::carrier, "herd" + std::to_string(i), 2, false));
        failures += served && served.value().status == 200 ? 0 : 1;
    }
    return failures;
}

} // namespace

TEST_CASE("a region cut off from everything keeps serving its own callers")
{
    fleet_plan plan = two_regions(programs());
    plan.proxy_peers = true;
    plan.proxy_platform = true;
    plan.settings = {"allowance.loan_duration_ms = 1000"};
    fleet fleet(plan);
    REQUIRE(failures_during(fleet.entry("kurzeme-a"), std::chrono::seconds(1)) == 0);
    for (const auto& vm : all_vms) {
        fleet.set_link_fault("peer:" + vm, "kind=blackhole");
    }
    for (const char* vm : {"kurzeme-a", "kurzeme-b"}) {
        fleet.set_link_fault(std::string("platform:") + vm, "kind=cut");
    }
    SECTION("for longer than any loan")
    {
        CHECK(failures_during(fleet.entry("kurzeme-a"), std::chrono::seconds(6)) == 0);
        CHECK(failures_during(fleet.entry("riga-a"), std::chrono::seconds(2)) == 0);
    }
    SECTION("and learns the rules that it missed once the partition heals")
    {
        fleet.publish_rules(rules_without(plan.rules, "keys.operator-1"));
        std::this_thread::sleep_for(std::chrono::seconds(2));
        for (const auto& vm : all_vms) {
            fleet.set_link_fault("peer:" + vm, "kind=none");
            fleet.set_link_fault("platform:" + vm, "kind=none");
        }
        const call withdrawn{"GET", "/v1/models", "", keys::operator_key, {}};
        CHECK(wait_for_status(fleet.entry("kurzeme-a"), withdrawn, 401, std::chrono::seconds(5)));
        CHECK(failures_during(fleet.entry("kurzeme-a"), std::chrono::seconds(1)) == 0);
    }
}

// A VM said so while it held no allowance yet, and refused its callers.
TEST_CASE("a VM that says that it is ready serves its callers")
{
    fleet_plan plan = two_regions(programs());
    plan.settle_time = std::chrono::milliseconds{0};
    const fleet fleet(plan);
    for (const auto& vm : all_vms) {
        CAPTURE(vm);
        const auto answered = send_once(fleet.entry(vm), chat_call(keys::carrier, "herd", 2, false));
        REQUIRE(answered);
        CAPTURE(answered.value().body);
        CHECK(answered.value().status == 200);
    }
}

TEST_CASE("a customer receives no more than its rate and burst over all VMs")
{
    constexpr double rate = 100;
    constexpr double burst = 300;
    const std::string key = "cs-test-key-of-a-small-member";
    fleet_plan plan = one_region(programs(), 3);
    plan.rules.emplace_back("customers.small = { rate = 100, burst = 300 } # asked by: test desk");
    plan.rules.push_back(key_rule_line("small-1", "small", key));
    plan.upstreams.front().arguments = {"--tokens-per-second", "2000"};
    const fleet fleet(plan);
    const auto start = std::chrono::steady_clock::now();
    const auto deadline = start + std::chrono::seconds(6);
    std::vector<std::future<std::int64_t>> spenders;
    for (const char* vm : {"riga-a", "riga-b", "riga-c", "riga-a", "riga-b", "riga-c"}) {
        spenders.push_back(std::async(std::launch::async, [&, vm] {
            std::int64_t received = 0;
            while (std::chrono::steady_clock::now() < deadline) {
                const auto served = send_once(fleet.entry(vm), chat_call(key, "yield", 10, false));
                if (served && served.value().status == 200) {
                    received += served.value().json().at("usage").at("total_tokens").as_int64();
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            return received;
        }));
    }
    std::int64_t total = 0;
    for (auto& spender : spenders) {
        total += spender.get();
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    CHECK(static_cast<double>(total) <= burst + rate * elapsed.count());
    CHECK(static_cast<double>(total) >= rate);
}
