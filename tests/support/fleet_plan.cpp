#include "fleet_plan.h"

#include "cardamomstream/version/key_digest.h"

#include <utility>

namespace cardamomstream::test_support {

namespace {

const std::string submit_rule =
    R"(routes.submit = { path = "/filing/submissions", methods = ["POST"], pool = "filing", )"
    R"(repeat = "at_most_once" } # asked by: filing desk)";
const std::string hours_rule =
    R"(routes.hours = { path = "/public/hours", methods = ["GET"], pool = "filing", access = "open" } )"
    "# asked by: filing desk";

std::string link_line(const std::string& from, const std::string& to)
{
    return "links." + from + "-" + to + " = { from = \"" + from + "\", to = \"" + to +
           "\", requests_per_second = 200 } # asked by: platform desk";
}

} // namespace

std::string key_rule_line(const std::string& name, const std::string& customer, const std::string& key)
{
    return "keys." + name + " = { customer = \"" + customer + "\", digest = \"" +
           format_digest(digest_of(key)) + "\" } # asked by: test desk";
}

std::vector<std::string> usual_rules()
{
    return {
        "customers.carrier = { rate = 100000, burst = 200000 } # asked by: carrier desk",
        "customers.operator = { rate = 100000, burst = 200000 } # asked by: operator desk",
        "customers.bound = { rate = 100000, burst = 200000, regions = [\"kurzeme\"] } # asked by: test desk",
        key_rule_line("carrier-1", "carrier", keys::carrier),
        key_rule_line("operator-1", "operator", keys::operator_key),
        key_rule_line("bound-1", "bound", keys::bound),
        R"(pools.drafting = { kind = "model" } # asked by: filing desk)",
        R"(pools.filing = { kind = "service" } # asked by: filing desk)",
        R"(models.draft-small = { pool = "drafting" } # asked by: filing desk)",
        submit_rule,
        R"(routes.status = { path = "/filing/status", methods = ["GET"], pool = "filing" } # asked by: filing desk)",
        hours_rule,
    };
}

fleet_plan two_regions(program_paths programs)
{
    fleet_plan plan;
    plan.programs = std::move(programs);
    plan.vms = {{"riga-a", "riga", "riga-1"},
                {"riga-b", "riga", "riga-1"},
                {"kurzeme-a", "kurzeme", "kurzeme-1"},
                {"kurzeme-b", "kurzeme", "kurzeme-1"}};
    plan.upstreams = {{"riga-w1", "drafting", "riga", "riga-1"},
                      {"kurzeme-w1", "drafting", "kurzeme", "kurzeme-1"},
                      {"riga-f1", "filing", "riga", "riga-1", upstream_kind::service}};
    plan.rules = usual_rules();
    plan.rules.push_back(link_line("riga", "kurzeme"));
    plan.rules.push_back(link_line("kurzeme", "riga"));
    return plan;
}

fleet_plan one_region(program_paths programs, int vms)
{
    fleet_plan plan;
    plan.programs = std::move(programs);
    for (int i = 0; i < vms; ++i) {
        plan.vms.push_back({std::string("riga-") + static_cast<char>('a' + i), "riga", "riga-1"});
    }
    plan.upstreams = {{"riga-w1", "drafting", "riga", "riga-1"},
                      {"riga-f1", "filing", "riga", "riga-1", upstream_kind::service}};
    plan.rules = usual_rules();
    // The customer that is bound to kurzeme needs that region to exist.
    plan.rules.emplace_back("regions.kurzeme = { data_centres = [\"kurzeme-1\"] } # asked by: test desk");
    return plan;
}

} // namespace cardamomstream::test_support
