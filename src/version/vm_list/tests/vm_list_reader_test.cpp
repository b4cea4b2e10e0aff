#include "cardamomstream/version/vm_list_reader.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

const std::string good_list =
    R"({"vms":{"riga-a":{"region":"riga","data_centre":"riga-1","entry":"127.0.0.1:7101","peer":"[::1]:7201","state":"live"}},)"
    R"("upstreams":{"riga-w1":{"pool":"drafting","region":"riga","data_centre":"riga-1","address":"127.0.0.1:8000","state":"leaving","slots":8,"checks_fencing":true}}})";

std::string refusal_after(const std::string& from, const std::string& to)
{
    std::string text = good_list;
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    const auto read = read_vm_list(text.replace(position, from.size(), to), 1);
    return read ? "accepted" : read.error().message;
}

} // namespace

TEST_CASE("the list of VMs and upstreams survives writing and reading")
{
    const auto read = read_vm_list(good_list, 5);
    REQUIRE(read);
    const vm_list& list = read.value();

    CHECK(list.version == 5);
    CHECK(list.vms.at(vm_name{"riga-a"}).peer == endpoint{"::1", 7201});
    CHECK(list.vms.at(vm_name{"riga-a"}).state == listed_state::live);
    const auto& upstream = list.upstreams.at(upstream_name{"riga-w1"});
    CHECK(upstream.pool == pool_name{"drafting"});
    CHECK(upstream.state == listed_state::leaving);
    CHECK(upstream.slots == 8);
    CHECK(upstream.checks_fencing);

    CHECK(write_vm_list(list) == good_list);
}

TEST_CASE("a list that cannot be trusted whole is refused whole")
{
    CHECK(refusal_after("\"state\":\"live\"", "\"state\":\"dead\"").find("vms.riga-a.state") !=
          std::string::npos);
    CHECK(refusal_after(",\"state\":\"leaving\"", "").find("upstreams.riga-w1.state") != std::string::npos);
    CHECK(refusal_after("127.0.0.1:8000", "worker:8000").find("riga-w1.address") != std::string::npos);
    CHECK(refusal_after("\"pool\":\"drafting\"", "\"pool\":3").find("riga-w1.pool") != std::string::npos);
    CHECK(refusal_after("\"slots\":8", "\"slots\":-1").find("riga-w1.slots") != std::string::npos);
    CHECK(refusal_after("\"slots\":8", "\"slots\":0").find("riga-w1.slots") != std::string::npos);
    CHECK(refusal_after("true", "1").find("riga-w1.checks_fencing") != std::string::npos);
    CHECK(refusal_after("\"upstreams\"", "\"upstream\"").find("upstreams is not") != std::string::npos);
    CHECK(refusal_after("\"riga-a\"", "\"a b\"").find("vms holds") != std::string::npos);
    CHECK(refusal_after("}}}", "}}") != "accepted");
    CHECK_FALSE(read_vm_list("[]", 1));
    CHECK_FALSE(read_vm_list("", 1));
    CHECK_FALSE(read_vm_list(std::string(100'000, '['), 1));
}

TEST_CASE("a list may hold keys that are not known yet and leave out those with a default")
{
    CHECK(refusal_after("\"slots\":8", "\"rack\":\"r1\"") == "accepted");
    CHECK(read_vm_list(R"({"vms":{},"upstreams":{}})", 1));
}
