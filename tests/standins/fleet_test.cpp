#include "fleet.h"
#include "loopback.h"

#include "cardamomstream/process/settings_reader.h"
#include "cardamomstream/version/rules_reader.h"
#include "cardamomstream/version/vm_list_reader.h"

#include <fstream>
#include <iterator>
#include <set>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

std::string text_of(const std::filesystem::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string published(const fleet& fleet, const std::string& key)
{
    const auto read = send_once(fleet.platform(), {"GET", "/v1/values/" + key, "", "", {}});
    REQUIRE(read);
    return read.value().body;
}

/// The plan without the VMs' processes, which these tests do not need.
fleet_plan without_processes(fleet_plan plan)
{
    for (auto& vm : plan.vms) {
        vm.starts = false;
    }
    return plan;
}

} // namespace

TEST_CASE("the harness writes settings and rules and a list that the product's readers accept")
{
    const program_paths programs{"", STANDINS_PROGRAM};
    const auto plan = GENERATE_COPY(two_regions(programs), one_region(programs, 2));
    fleet fleet(without_processes(plan));

    const auto rules = read_rules(published(fleet, "rules"));
    if (!rules) {
        FAIL(describe(rules.error()));
    }
    CHECK(rules.value().version == 1);
    CHECK(rules.value().vms.size() == plan.vms.size());
    fleet.list_upstream("riga-w1", "leaving");
    fleet.list_vm("riga-a", "live");
    const auto list = read_vm_list(published(fleet, "vms"), 1);
    REQUIRE(list);
    CHECK(write_vm_list(list.value()).find("\"leaving\"") != std::string::npos);
    CHECK(list.value().vms.size() == 1);
    for (const auto& vm : plan.vms) {
        const auto settings = read_settings(text_of(fleet.directory() / (vm.name + ".toml")));
        if (!settings) {
            FAIL(describe(settings.error()));
        }
        CHECK(settings.value().listeners.entry == fleet.entry(vm.name));
    }
}

TEST_CASE("the harness freezes and thaws and restarts a process and stops all of them by signal")
{
    fleet fleet(without_processes(one_region({"", STANDINS_PROGRAM}, 1)));
    const endpoint service = fleet.upstream("riga-f1");
    const call hours{"GET", "/public/hours", "", "", {}};
    REQUIRE(send_once(service, hours));

    SECTION("a frozen process answers once it is thawed")
    {
        fleet.freeze("riga-f1");
        http_caller caller(service, std::chrono::milliseconds(300));
        REQUIRE(caller.start(hours));
        CHECK(caller.finish().error().kind == error_kind::upstream_timeout);
        fleet.thaw("riga-f1");
        CHECK(send_once(service, hours));
    }
    SECTION("a killed process answers again after its restart at the same address")
    {
        fleet.kill("riga-f1");
        CHECK_FALSE(send_once(service, hours));
        fleet.start_upstream("riga-f1");
        CHECK(send_once(service, hours));
    }
    CHECK(fleet.stop().empty());
    CHECK_FALSE(send_once(service, hours));
}

TEST_CASE("ports of one test process differ and lie on its own address")
{
    std::set<std::uint16_t> ports;
    for (int i = 0; i < 50; ++i) {
        const endpoint port = free_port();
        CHECK(port.address == loopback_address());
        ports.insert(port.port);
    }
    CHECK(ports.size() == 50);
}
