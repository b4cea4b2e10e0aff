#include "cardamomstream/process/deployment/entry_directory.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<known_vm> vm_in(const std::string& region, std::uint16_t port)
{
    auto made = std::make_shared<known_vm>();
    auto& vm = *made;
    vm.report.vm = vm_name(region + std::to_string(port));
    vm.report.region = region_name(region);
    vm.report.entry = {"10.0.0.1", port};
    vm.report.ready = true;
    return made;
}

service_plan plan_with_homes()
{
    plan_route bound;
    bound.host = "bound.example";
    bound.home_regions = {region_name("riga"), region_name("kurzeme")};
    plan_route open;
    open.host = "open.example";
    service_plan_document document;
    document.routes = {bound, open};
    return service_plan(document);
}

} // namespace

TEST_CASE("a caller asks where to connect")
{
    node_settings self;
    self.region = region_name("latgale");
    self.entry_listener = endpoint{"10.0.0.1", 1};
    for (const auto* region : {"riga", "kurzeme", "latgale"}) {
        self.regions[data_centre_name(std::string(region) + "-a")] = region_name(region);
    }
    const auto plan = plan_with_homes();
    const auto in_riga = vm_in("riga", 2);
    const auto in_kurzeme = vm_in("kurzeme", 3);
    known_vms vms{in_riga, in_kurzeme};
    const known_vms none;
    const endpoint here{"10.0.0.1", 1};
    const endpoint riga{"10.0.0.1", 2};
    const endpoint kurzeme{"10.0.0.1", 3};
    const auto now = boot_clock::now();
    region_restarts restarts(now - 1h); // as if no other VM stopped or started
    const auto ask = [&](const entry_query& query, const service_plan& in_force, const known_vms& reports,
                         bool self_ready = true) {
        return entry_addresses(query, self, {&in_force, reports, restarts, now, self_ready});
    };

    SECTION("its own region has a ready VM: only that one")
    {
        CHECK(ask({"open.example", region_name("riga"), {}}, plan, vms) == std::vector<endpoint>{riga});
    }
    SECTION("a VM without links to the upstreams is named only where it is the only one")
    {
        in_riga->report.links_lost = true;
        CHECK(ask({"open.example", region_name("riga"), {}}, plan, vms) == std::vector<endpoint>{riga});
        const auto linked = vm_in("riga", 4);
        vms.push_back(linked);
        CHECK(ask({"open.example", region_name("riga"), {}}, plan, vms) ==
              std::vector<endpoint>{linked->report.entry});
    }
    SECTION("its region has two data centres")
    {
        const auto add = [&](const std::string& data_centre, std::uint16_t port) {
            auto vm = vm_in("riga", port);
            vm->report.data_centre = data_centre_name(data_centre);
            vms.push_back(vm);
        };
        in_riga->report.data_centre = data_centre_name("riga-b");
        add("riga-a", 10);
        add("riga-a", 11);
        const auto answer = [&] {
            return ask({"open.example", region_name("riga"), data_centre_name("riga-a")}, plan, vms);
        };
        SECTION("enough VMs in its own data centre: those, so that its traffic stays there")
        {
            add("riga-a", 12);
            CHECK(answer() == std::vector<endpoint>{{"10.0.0.1", 10}, {"10.0.0.1", 11}, {"10.0.0.1", 12}});
        }
        SECTION("fewer: those of the whole region, so that it has others to try")
        {
            CHECK(answer() == std::vector<endpoint>{riga, {"10.0.0.1", 10}, {"10.0.0.1", 11}});
        }
    }
    SECTION("its own region has no ready VM")
    {
        vms = {vm_in("riga", 2)};
        SECTION("a host with home regions: only VMs of these")
        {
            CHECK(ask({"bound.example", region_name("kurzeme"), {}}, plan, vms) ==
                  std::vector<endpoint>{riga});
        }
        SECTION("a host without home regions: VMs of every region")
        {
            CHECK(ask({"open.example", region_name("kurzeme"), {}}, plan, vms) ==
                  std::vector<endpoint>{here, riga});
        }
        SECTION("no home region has a VM: none, since each request would be refused elsewhere")
        {
            CHECK(ask({"bound.example", region_name("kurzeme"), {}}, plan, none).empty());
        }
    }
    SECTION("a host has a route with home regions and one without, and all VMs of the home regions stop")
    {
        auto document = plan.document();
        document.routes[1].host = "bound.example";
        const service_plan mixed(document);
        const auto elsewhere = [&] {
            return ask({"bound.example", region_name("kurzeme"), {}}, mixed, none);
        };
        SECTION("while one of them may come back: none")
        {
            restarts.note_restart(region_name("riga"), now - vm_return_time);
            CHECK(elsewhere().empty());
        }
        SECTION("after that, or when they were killed: the region in which the other route may be served")
        {
            restarts.note_restart(region_name("riga"), now - vm_return_time - 1ms);
            CHECK(elsewhere() == std::vector<endpoint>{here});
        }
        SECTION("a VM that has just started can't tell: none")
        {
            restarts = region_restarts(now - vm_return_time);
            CHECK(elsewhere().empty());
        }
        SECTION("a VM of a home region comes back: that one")
        {
            vms = {vm_in("riga", 2)};
            restarts.update(vms, now);
            CHECK(ask({"bound.example", region_name("kurzeme"), {}}, mixed, vms) ==
                  std::vector<endpoint>{riga});
        }
    }
    SECTION("customers have home regions")
    {
        auto document = plan.document();
        const auto add_customer = [&](const std::string& name, const std::string& home) {
            plan_customer customer;
            customer.name = customer_name(name);
            customer.keys = {name};
            customer.home_regions = {region_name(home)};
            document.customers.push_back(customer);
        };
        const auto answer = [&](const known_vms& reports) {
            return ask({"open.example", region_name("kurzeme"), {}}, service_plan(document), reports);
        };
        vms = {vm_in("riga", 2)};
        SECTION("all of them the same: VMs there, or none")
        {
            add_customer("a", "riga");
            CHECK(answer(vms) == std::vector<endpoint>{riga});
            CHECK(answer(none).empty());
        }
        SECTION("different ones: each region in which one of them may be served")
        {
            add_customer("a", "riga");
            add_customer("b", "latgale");
            CHECK(answer(vms) == std::vector<endpoint>{here, riga});
            CHECK(answer(none) == std::vector<endpoint>{here});
        }
        SECTION("a route that is open to all has no customers")
        {
            add_customer("a", "riga");
            document.routes[1].open_to_all = true;
            CHECK(answer(vms) == std::vector<endpoint>{here, riga});
        }
    }
    SECTION("routes of one host have different home regions: the regions that may serve most of them")
    {
        auto document = plan.document();
        auto other = document.routes[0];
        other.home_regions = {region_name("latgale"), region_name("riga")};
        document.routes.push_back(other);
        const service_plan mixed(document);
        vms = {vm_in("riga", 2)};
        CHECK(ask({"bound.example", region_name("kurzeme"), {}}, mixed, vms) == std::vector<endpoint>{riga});
    }
    SECTION("a VM that has just started and knows no other does not return itself for a host with home "
            "regions elsewhere")
    {
        restarts = region_restarts(now);
        CHECK(ask({"bound.example", region_name("kurzeme"), {}}, plan, none).empty());
    }
    SECTION("a VM that is leaving or not ready is never returned")
    {
        in_riga->report.leaving = true;
        in_kurzeme->report.ready = false;
        CHECK(ask({"open.example", region_name("riga"), {}}, plan, vms, false).empty());
    }
}
