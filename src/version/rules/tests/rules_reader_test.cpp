#include "cardamomstream/version/key_index.h"
#include "cardamomstream/version/rules_reader.h"

#include <fstream>
#include <locale>
#include <random>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

const std::string good_rules = R"(version = 12
regions.riga = { data_centres = ["riga-1"] } # asked by: platform desk
regions.kurzeme = { data_centres = ["kurzeme-1"] } # asked by: platform desk
vms.riga-a = { region = "riga", data_centre = "riga-1", entry = "127.0.0.1:7101", peer = "127.0.0.1:7201" } # asked by: platform desk
customers.carrier = { rate = 400.5, burst = 1200, regions = ["riga"], demand_shares = { riga = 1 }, queue_weight = 2, max_connections = 64 } # asked by: carrier desk
customers.small = { rate = 1, burst = 1 } # asked by: carrier desk
keys.carrier-1 = { customer = "carrier", digest = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" } # asked by: carrier desk
pools.drafting = { kind = "model", first_byte_ms = 9000 } # asked by: filing desk
pools.filing = { kind = "service" } # asked by: filing desk
models.draft-small = { pool = "drafting", customers = ["carrier"] } # asked by: filing desk
routes.submit = { path = "/filing/submissions", methods = ["POST"], pool = "filing", repeat = "at_most_once" } # asked by: filing desk
links.riga-kurzeme = { from = "riga", to = "kurzeme", requests_per_second = 50 } # asked by: platform desk
)";

std::string refusal_of(const std::string& text)
{
    const auto read = read_rules(text);
    if (read) {
        return "accepted";
    }
    CHECK(read.error().kind == error_kind::invalid_rules);
    CHECK_FALSE(read.error().remedy.empty());
    return describe(read.error());
}

/// The refusal of the good rules with one line added, which is line 13.
std::string refusal_with(const std::string& line)
{
    return refusal_of(good_rules + line + "\n");
}

/// The refusal of the good rules with the first `from` replaced by `to`.
std::string refusal_after(const std::string& from, const std::string& to)
{
    std::string text = good_rules;
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return refusal_of(text.replace(position, from.size(), to));
}

std::string file_text(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

class comma_numbers : public std::numpunct<char> {
protected:
    char do_decimal_point() const override { return ','; }
    char do_thousands_sep() const override { return '.'; }
    std::string do_grouping() const override { return "\3"; }
};

} // namespace

TEST_CASE("a rule file becomes typed rules")
{
    const auto read = read_rules(good_rules);
    REQUIRE(read);
    const rules& value = read.value();

    CHECK(value.version == 12);
    CHECK(value.vms.at(vm_name{"riga-a"}).peer == endpoint{"127.0.0.1", 7201});
    const auto& carrier = value.customers.at(customer_name{"carrier"});
    CHECK(carrier.rate.per_second == 400.5);
    CHECK(carrier.burst == 1200);
    CHECK(carrier.regions == std::set{region_name{"riga"}});
    CHECK(carrier.demand_shares.at(region_name{"riga"}) == 1);
    CHECK(carrier.max_connections == 64);
    CHECK(value.customers.at(customer_name{"small"}).regions.empty());
    CHECK(value.pools.at(pool_name{"drafting"}).first_byte_limit == std::chrono::seconds{9});
    CHECK(value.pools.at(pool_name{"drafting"}).chunk_gap_limit == std::chrono::seconds{5});
    CHECK(value.routes.at(route_name{"submit"}).repeat == repeat_policy::at_most_once);
    CHECK(value.links.at("riga-kurzeme").requests_per_second == 50);
    CHECK(key_index{value}.find("abc")->customer == customer_name{"carrier"});

    SECTION("with Windows line ends as well")
    {
        std::string text = good_rules;
        for (std::size_t i = 0; (i = text.find('\n', i)) != std::string::npos; i += 2) {
            text.insert(i, 1, '\r');
        }
        CHECK(refusal_of(text) == "accepted");
    }
    SECTION("with numbers in every TOML spelling")
    {
        CHECK(refusal_after("400.5", "+4_00.5e0") == "accepted");
    }
    SECTION("with the same verdict under another locale")
    {
        const auto before = std::locale::global(std::locale{std::locale{}, new comma_numbers});
        const auto again = read_rules(good_rules);
        std::locale::global(before);
        REQUIRE(again);
        CHECK(again.value().customers.at(customer_name{"carrier"}).rate.per_second == 400.5);
        CHECK(again.value().customers.at(customer_name{"carrier"}).burst == 1200);
    }
}

TEST_CASE("a rule must say who asked for it on its own line")
{
    const std::string rule = "regions.latgale = { data_centres = [\"latgale-1\"] }";
    CHECK(refusal_with(rule + " # asked by: platform desk") == "accepted");

    const std::string remedy =
        "line 13: regions.latgale does not say who asked for it; end its line with # asked by: WHO";
    CHECK(refusal_with(rule) == remedy);
    CHECK(refusal_with(rule + " # platform desk") == remedy);
    CHECK(refusal_with(rule + " # asked by: ") == remedy);
    CHECK(refusal_with(rule + "\n# asked by: platform desk") == remedy);
    CHECK(refusal_of("# asked by: platform desk\n" + rule + "\n" + good_rules).find("line 2: ") == 0);

    SECTION("and stand whole on that line")
    {
        const std::string form = "line 13: regions.latgale is not one inline table";
        CHECK(refusal_with("[regions.latgale] # asked by: a\ndata_centres = [\"x\"]").find(form) == 0);
        CHECK(refusal_with("regions.latgale.data_centres = [\"x\"] # asked by: a").find(form) == 0);
        CHECK(refusal_with("regions.latgale = { data_centres = [\n\"x\"] } # asked by: a") != "accepted");
    }
}

TEST_CASE("a faulty rule is refused with line and key and remedy")
{
    const std::string by = " # asked by: a";
    SECTION("names that stand twice or are unknown")
    {
        CHECK(refusal_with("customers.small = { rate = 2, burst = 2 }" + by) ==
              "line 13: customers.small stands already on line 6; write each name once");
        CHECK(refusal_with("version = 13") ==
              "line 13: version stands already on line 1; write each name once");
        CHECK(refusal_with("customers.b = { rat = 2, rate = 2, burst = 2 }" + by) ==
              "line 13: customers.b.rat is not a known key; did you mean \"rate\"?");
        CHECK(refusal_with("customer.b = { rate = 2, burst = 2 }" + by) ==
              "line 13: customer is not a known key; did you mean \"customers\"?");
        CHECK(refusal_with("customers.\"a b\" = { rate = 2, burst = 2 }" + by).find("malformed name") !=
              std::string::npos);
    }
    SECTION("references to what is not defined")
    {
        CHECK(refusal_after("regions = [\"riga\"]", "regions = [\"rgia\"]") ==
              "line 5: customers.carrier: regions names \"rgia\", which is not defined; did you mean "
              "\"riga\"?");
        CHECK(refusal_after("demand_shares = { riga", "demand_shares = { kurzeme").find("line 5: ") == 0);
        CHECK(refusal_after("customer = \"carrier\"", "customer = \"carier\"")
                  .find("line 7: keys.carrier-1: customer names \"carier\"") == 0);
        CHECK(refusal_after("customers = [\"carrier\"]", "customers = [\"x\"]").find("line 10: models") == 0);
        CHECK(refusal_after("pool = \"drafting\"", "pool = \"filing\"").find("line 10: models") == 0);
        CHECK(refusal_after("pool = \"filing\"", "pool = \"drafting\"").find("line 11: routes") == 0);
        CHECK(refusal_after("region = \"riga\"", "region = \"kurzeme\"").find("line 4: vms.riga-a") == 0);
        CHECK(refusal_after("region = \"riga\"", "region = \"x\"").find("line 4: vms.riga-a") == 0);
        CHECK(refusal_after("to = \"kurzeme\"", "to = \"riga\"").find("line 12: links") == 0);
    }
    SECTION("numbers that cannot be meant")
    {
        for (const std::string rate : {"-1", "0", "0.5", "inf", "nan", "\"4\"", "1e300", "true"}) {
            CHECK(refusal_after("rate = 1, burst = 1", "burst = 1, rate = " + rate)
                      .find("line 6: customers.small.rate") == 0);
        }
        for (const std::string burst : {"-1", "0", "2.5", "9223372036854775807"}) {
            CHECK(refusal_after("rate = 1, burst = 1", "rate = 1, burst = " + burst)
                      .find("line 6: customers.small.burst") == 0);
        }
        CHECK(refusal_after("{ riga = 1 }", "{ riga = -1 }").find("line 5: ") == 0);
        CHECK(refusal_after("per_second = 50", "per_second = -1").find("line 12: links.riga-kurzeme.req") ==
              0);
        CHECK(refusal_after("queue_weight = 2", "queue_weight = -2.5").find("line 5: ") == 0);
        CHECK(refusal_after("{ riga = 1 }", "{ riga = 0 }").find("line 5: ") == 0);
        CHECK(refusal_after("version = 12", "version = 0").find("line 1: version is too small") == 0);
        CHECK(refusal_after("version = 12", "").find("version is missing") != std::string::npos);
    }
    SECTION("values that only one rule may have")
    {
        CHECK(refusal_with("keys.d = { customer = \"small\", digest = \"" + format_digest(digest_of("abc")) +
                           "\" }" + by) ==
              "line 13: keys.d: has the same digest as keys.carrier-1; write each one once");
        CHECK(refusal_with("routes.t = { path = \"/filing/submissions\", pool = \"filing\" }" + by) ==
              "line 13: routes.t: has the same path as routes.submit; write each one once");
        CHECK(refusal_with("vms.riga-b = { region = \"riga\", data_centre = \"riga-1\", entry = "
                           "\"127.0.0.1:7201\", peer = \"127.0.0.1:7301\" }" +
                           by)
                  .find("line 13: vms.riga-b: has the same entry as vms.riga-a") == 0);
    }
    SECTION("paths and endpoints and words and lists that are malformed")
    {
        CHECK(refusal_after("\"/filing/submissions\"", "\"filing\"").find("line 11: routes.submit") == 0);
        CHECK(refusal_after("\"/filing/submissions\"", "\"/a b\"").find("line 11: routes.submit") == 0);
        CHECK(refusal_after("[\"POST\"]", "[\"post\"]").find("line 11: routes.submit") == 0);
        CHECK(refusal_after("\"127.0.0.1:7101\"", "\"host:7101\"").find("line 4: vms.riga-a.entry") == 0);
        CHECK(refusal_after("\"at_most_once\"", "\"once\"").find("line 11: routes.submit.repeat") == 0);
        CHECK(refusal_after("\"at_most_once\"", "\"at_most_once\", access = \"open\"").find("line 11") == 0);
        CHECK(refusal_after("regions = [\"riga\"]", "regions = []").find("line 5: ") == 0);
        CHECK(refusal_after("sha256:ba", "sha256:x").find("line 7: keys.carrier-1.digest") == 0);
    }
    SECTION("files that are empty or hold no rules")
    {
        CHECK(refusal_of("").find("the file is empty") == 0);
        CHECK(refusal_of("# asked by: a\n").find("the file is empty") == 0);
        CHECK(refusal_of("version = 1\n").find("no region is defined") == 0);
        CHECK(refusal_of("customers = 3\nversion = 1\n").find("line 1: customers is not one rule") == 0);
    }
}

TEST_CASE("a reader that remembers lines gives the verdict of one that does not")
{
    rules_reader reader;
    REQUIRE(reader.read(good_rules));
    std::string changed = good_rules;
    changed.replace(changed.find("rate = 1,"), 9, "rate = 9,");

    SECTION("a changed line replaces the remembered one")
    {
        const auto read = reader.read(changed);
        REQUIRE(read);
        CHECK(read.value().customers.at(customer_name{"small"}).rate.per_second == 9);
        CHECK(reader.read(good_rules).value().customers.at(customer_name{"small"}).rate.per_second == 1);
    }
    SECTION("a line that has moved is named by its new number")
    {
        const std::string unknown_region = "# a comment\n" +
                                           good_rules.substr(0, good_rules.find("regions.kur")) +
                                           good_rules.substr(good_rules.find("vms."));
        const auto read = reader.read(unknown_region);
        REQUIRE_FALSE(read);
        CHECK(describe(read.error()) == refusal_of(unknown_region));
        CHECK(read.error().message.find("line 12: links") == 0);
    }
    SECTION("a refused version leaves no trace")
    {
        CHECK_FALSE(reader.read(changed + "customers.small = { rate = 2, burst = 2 } # asked by: a\n"));
        CHECK(reader.read(good_rules).value().customers.at(customer_name{"small"}).rate.per_second == 1);
        CHECK_FALSE(reader.read(""));
    }
}

TEST_CASE("a damaged file gets one verdict and never ends the process")
{
    constexpr std::uint64_t seed = 20'261'203;
    constexpr int files = 400;
    constexpr std::string_view likely = "{}[]\"'=.,#\n\r\\ \t-+_0e9";
    std::mt19937_64 random{seed};
    rules_reader remembering;
    int refused = 0;
    for (int i = 0; i < files; ++i) {
        std::string text = good_rules;
        for (auto damages = 1 + random() % 3; damages > 0; --damages) {
            const char damage =
                random() % 2 == 0 ? likely[random() % likely.size()] : static_cast<char>(random());
            text.replace(random() % text.size(), random() % 3, 1, damage);
        }
        const auto first = read_rules(text);
        const auto second = remembering.read(text);
        INFO(text);
        REQUIRE(first.has_value() == second.has_value());
        if (!first) {
            ++refused;
            REQUIRE(describe(first.error()) == describe(second.error()));
        }
    }
    CHECK(refused > files / 2);
}

TEST_CASE("the example rules of both users are valid")
{
    for (const std::string user : {"association", "dairy"}) {
        const auto read = read_rules(file_text(std::string{EXAMPLES_DIRECTORY} + "/" + user + "/rules.toml"));
        INFO(user << ": " << (read ? "" : describe(read.error())));
        REQUIRE(read);
        CHECK(read.value().regions.size() == 3);
        CHECK(read.value().vms.size() == 6);
        CHECK(read.value().customers.size() == 5);
        const key_index index{read.value()};
        for (const auto& [customer, rule] : read.value().customers) {
            CHECK(index.find("cs-demo-" + customer.str() + "-1")->customer == customer);
        }
    }
}
