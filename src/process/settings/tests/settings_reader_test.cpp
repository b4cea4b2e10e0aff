#include "cardamomstream/process/settings_reader.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

const std::string least_settings = R"(vm = "riga-a"
region = "riga"
data_centre = "riga-1"
listeners = { entry = "127.0.0.1:7101", peer = "127.0.0.1:7201", operators = "127.0.0.1:7301" }
platform = { configuration_address = "127.0.0.1:7001", list_address = "127.0.0.1:7002" }
fleet.credential = "a-long-enough-secret"
)";

std::string refusal_of(const std::string& text)
{
    const auto read = read_settings(text);
    if (read) {
        return "accepted";
    }
    CHECK(read.error().kind == error_kind::invalid_settings);
    CHECK(describe(read.error()).find("secret") == std::string::npos);
    return describe(read.error());
}

std::string refusal_with(const std::string& lines)
{
    return refusal_of(least_settings + lines + "\n");
}

std::string refusal_after(const std::string& from, const std::string& to)
{
    std::string text = least_settings;
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return refusal_of(text.replace(position, from.size(), to));
}

} // namespace

TEST_CASE("settings that hold only what is required get defaults for the rest")
{
    const auto read = read_settings(least_settings);
    REQUIRE(read);
    CHECK(read.value().vm == vm_name{"riga-a"});
    CHECK(read.value().listeners.operators == endpoint{"127.0.0.1", 7301});
    CHECK(read.value().platform.reads_per_hour == platform_settings{}.reads_per_hour);
    CHECK(read.value().limits.max_body_bytes == limit_settings{}.max_body_bytes);
    CHECK(load_fleet_credential(read.value().fleet).value() == "a-long-enough-secret");
    CHECK_FALSE(read.value().tls);
}

TEST_CASE("every key of the settings is read")
{
    const auto read = read_settings(R"(vm = "riga-a"
region = "riga"
data_centre = "riga-1"
seeds = ["127.0.0.1:7202", "127.0.0.1:7203"]
[listeners]
entry = "127.0.0.1:7101"
peer = "127.0.0.1:7201"
operators = "127.0.0.1:7301"
[platform]
configuration_address = "127.0.0.1:7001"
list_address = "127.0.0.1:7002"
reads_per_hour = 14
[fleet]
credential_file = "credential"
[tls]
certificate = "c.pem"
key = "k.pem"
authority = "a.pem"
[traffic]
threads = 4
[limits]
max_header_bytes = 2048
max_body_bytes = 4096
header_timeout_ms = 1
body_timeout_ms = 2
idle_timeout_ms = 3
max_connections = 5
[stop]
drain_limit_ms = 6
[log]
level = "debug"
format = "json"
[events]
capacity = 7
[allowance]
loan_duration_ms = 9
drift_margin_ms = 8
lendable_fraction = 0.25
loan_wait_ms = 10
[tickets]
lifetime_ms = 12
run_by_ms = 11
max_kept_answer_bytes = 13
)");
    INFO((read ? "" : describe(read.error())));
    REQUIRE(read);
    using std::chrono::milliseconds;
    const settings& value = read.value();
    CHECK(value.seeds == std::vector{endpoint{"127.0.0.1", 7202}, endpoint{"127.0.0.1", 7203}});
    CHECK(value.platform.reads_per_hour == 14);
    CHECK(value.fleet.credential_file == "credential");
    CHECK(value.tls->authority == "a.pem");
    CHECK(value.traffic.threads == 4);
    CHECK(value.limits.max_header_bytes == 2048);
    CHECK(value.limits.max_body_bytes == 4096);
    CHECK(value.limits.header_timeout == milliseconds{1});
    CHECK(value.limits.body_timeout == milliseconds{2});
    CHECK(value.limits.idle_timeout == milliseconds{3});
    CHECK(value.limits.max_connections == 5);
    CHECK(value.stop.drain_limit == milliseconds{6});
    CHECK(value.log.level == log_level::debug);
    CHECK(value.log.format == log_format::json);
    CHECK(value.events.capacity == 7);
    CHECK(value.allowance.loan_duration == milliseconds{9});
    CHECK(value.allowance.drift_margin == milliseconds{8});
    CHECK(value.allowance.lendable_fraction == 0.25);
    CHECK(value.allowance.loan_wait == milliseconds{10});
    CHECK(value.tickets.lifetime == milliseconds{12});
    CHECK(value.tickets.run_by == milliseconds{11});
    CHECK(value.tickets.max_kept_answer_bytes == 13);
}

TEST_CASE("the example settings are valid and show the defaults")
{
    std::ifstream file{EXAMPLES_DIRECTORY "/settings.toml"};
    std::ostringstream text;
    text << file.rdbuf();
    const auto read = read_settings(text.str());
    INFO((read ? "" : describe(read.error())));
    REQUIRE(read);
    const settings& value = read.value();
    CHECK(value.platform.reads_per_hour == platform_settings{}.reads_per_hour);
    CHECK(value.traffic.threads == traffic_settings{}.threads);
    CHECK(value.limits.max_header_bytes == limit_settings{}.max_header_bytes);
    CHECK(value.limits.max_body_bytes == limit_settings{}.max_body_bytes);
    CHECK(value.limits.header_timeout == limit_settings{}.header_timeout);
    CHECK(value.limits.body_timeout == limit_settings{}.body_timeout);
    CHECK(value.limits.idle_timeout == limit_settings{}.idle_timeout);
    CHECK(value.limits.max_connections == limit_settings{}.max_connections);
    CHECK(value.stop.drain_limit == stop_settings{}.drain_limit);
    CHECK(value.log.level == log_settings{}.level);
    CHECK(value.log.format == log_settings{}.format);
    CHECK(value.events.capacity == event_settings{}.capacity);
    CHECK(value.allowance.loan_duration == allowance_settings{}.loan_duration);
    CHECK(value.allowance.drift_margin == allowance_settings{}.drift_margin);
    CHECK(value.allowance.lendable_fraction == allowance_settings{}.lendable_fraction);
    CHECK(value.allowance.loan_wait == allowance_settings{}.loan_wait);
    CHECK(value.tickets.lifetime == ticket_limits{}.lifetime);
    CHECK(value.tickets.run_by == ticket_limits{}.run_by);
    CHECK(value.tickets.max_kept_answer_bytes == ticket_limits{}.max_kept_answer_bytes);
}

TEST_CASE("a fault in the settings is refused with line and key and remedy")
{
    SECTION("unknown keys with the nearest known name")
    {
        CHECK(refusal_with("limits.max_bodi_bytes = 3") ==
              "line 7: limits.max_bodi_bytes is not a known key; did you mean \"max_body_bytes\"?");
        CHECK(refusal_with("listener.entry = 3") ==
              "line 7: listener is not a known key; did you mean \"listeners\"?");
    }
    SECTION("missing keys")
    {
        CHECK(refusal_after("vm = \"riga-a\"", "").find("vm is missing; write a name") != std::string::npos);
        CHECK(refusal_after(", peer = \"127.0.0.1:7201\"", "").find("line 4: listeners.peer is missing") ==
              0);
        CHECK(refusal_after("fleet.credential = \"a-long-enough-secret\"", "").find("fleet is missing") !=
              std::string::npos);
        CHECK(refusal_with("tls.certificate = \"c\"").find("tls.key is missing") != std::string::npos);
    }
    SECTION("values out of range or at odds with each other")
    {
        CHECK(refusal_after("127.0.0.1:7201", "127.0.0.1:7101").find("line 4: listeners.peer is") == 0);
        CHECK(refusal_after("127.0.0.1:7301", "127.0.0.1:7101").find("line 4: listeners.operators is") == 0);
        CHECK(refusal_after("127.0.0.1:7001", "config:7001").find("line 5: platform.configuration_address") ==
              0);
        CHECK(refusal_after("a-long-enough-secret", "secret").find("line 6: fleet.credential is too short") ==
              0);
        CHECK(refusal_with("fleet.credential_file = \"x\"").find("write one of the two") !=
              std::string::npos);
        CHECK(refusal_with("traffic.threads = 0").find("line 7: traffic.threads is too small") == 0);
        CHECK(refusal_with("traffic.threads = 1000").find("line 7: traffic.threads is too large") == 0);
        CHECK(refusal_with("log.level = \"loud\"").find("\"debug\" \"info\"") != std::string::npos);
        CHECK(refusal_with("allowance.lendable_fraction = 1.5").find("line 7: allowance.lendable") == 0);
        CHECK(refusal_with("allowance.drift_margin_ms = 10000").find("line 7: allowance.drift") == 0);
        CHECK(refusal_with("tickets.run_by_ms = 330000").find("line 7: tickets.run_by_ms") == 0);
        CHECK(refusal_with("limits.idle_timeout_ms = 0").find("line 7: limits.idle_timeout_ms") == 0);
        CHECK(refusal_with("seeds = [\"peer:1\"]").find("line 7: seeds") == 0);
    }
    SECTION("a file that is empty or no TOML")
    {
        CHECK(refusal_of("").find("the file is empty") == 0);
        CHECK(refusal_with("fleet.credential = \"another-long-secret\"").find("write each name once") !=
              std::string::npos);
        CHECK(refusal_with("x = secret") != "accepted");
    }
}

TEST_CASE("the fleet credential may lie in a file")
{
    const std::string path = "settings_test_credential"; // in the working directory of the test
    std::ofstream{path} << "  a-long-enough-secret\n";
    CHECK(load_fleet_credential({std::nullopt, path}).value() == "a-long-enough-secret");
    std::ofstream{path} << "short\n";
    CHECK(load_fleet_credential({std::nullopt, path}).error().message.find("is too short") !=
          std::string::npos);
    std::filesystem::remove(path);
    CHECK(load_fleet_credential({std::nullopt, path}).error().message.find("cannot be opened") !=
          std::string::npos);
}
