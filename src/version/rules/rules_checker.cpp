#include "rules_checker.h"

#include "cardamomstream/version/name_text.h"
#include "cardamomstream/version/toml_document.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamomstream {
namespace {

std::string quote(std::string_view text)
{
    return "\"" + std::string{text} + "\"";
}

bool is_path(std::string_view text)
{
    return text.starts_with('/') && std::all_of(text.begin(), text.end(), [](char character) {
               return character > ' ' && character <= '~' && character != '?' && character != '#';
           });
}

bool is_method(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character) { return character >= 'A' && character <= 'Z'; });
}

template <class Known>
std::vector<std::string> names_of(const Known& known)
{
    std::vector<std::string> names;
    names.reserve(known.size());
    for (const auto& [key, value] : known) {
        names.push_back(key.str());
    }
    return names;
}

} // namespace

rules_checker::rules_checker(const rules& checked, const rule_line_numbers& lines)
    : m_rules(&checked)
    , m_lines(&lines)
{
}

result<void> rules_checker::check()
{
    check_presence();
    check_regions();
    check_vms();
    check_customers();
    check_keys();
    check_models();
    check_routes();
    check_links();
    if (m_error) {
        return *m_error;
    }
    return boost::outcome_v2::success();
}

void rules_checker::check_presence()
{
    if (m_rules->regions.empty()) {
        refuse("regions", "no region is defined", "write at least one rule regions.NAME");
    }
    if (m_rules->vms.empty()) {
        refuse("vms", "no VM is defined", "write at least one rule vms.NAME");
    }
}

void rules_checker::check_regions()
{
    std::map<data_centre_name, std::string> data_centres;
    for (const auto& [region, rule] : m_rules->regions) {
        for (const auto& data_centre : rule.data_centres) {
            require_unique(data_centres, "regions." + region.str(), data_centre, "data_centres");
        }
    }
}

void rules_checker::check_vms()
{
    std::map<endpoint, std::string> endpoints;
    for (const auto& [vm, rule] : m_rules->vms) {
        const std::string path = "vms." + vm.str();
        if (!require_known(path, "region", rule.region, m_rules->regions)) {
            return;
        }
        const auto& data_centres = m_rules->regions.at(rule.region).data_centres;
        if (std::find(data_centres.begin(), data_centres.end(), rule.data_centre) == data_centres.end()) {
            refuse(path,
                   "data_centre " + quote(rule.data_centre.str()) + " is not in region " +
                       quote(rule.region.str()),
                   "add it to regions." + rule.region.str() + " or name one that is there");
        }
        require_unique(endpoints, path, rule.entry, "entry");
        require_unique(endpoints, path, rule.peer, "peer");
    }
}

void rules_checker::check_customers()
{
    for (const auto& [customer, rule] : m_rules->customers) {
        const std::string path = "customers." + customer.str();
        require_all_known(path, "regions", rule.regions, m_rules->regions);
        double share_sum = 0;
        for (const auto& [region, share] : rule.demand_shares) {
            require_known(path, "demand_shares", region, m_rules->regions);
            if (!rule.regions.empty() && !rule.regions.contains(region)) {
                refuse(path, "demand_shares names region " + quote(region.str()) + " that regions leaves out",
                       "take the share out or add the region");
            }
            share_sum += share;
        }
        if (!rule.demand_shares.empty() && share_sum <= 0) {
            refuse(path, "demand_shares sum to 0", "write a share above 0 or leave the key out");
        }
    }
}

void rules_checker::check_keys()
{
    std::map<key_digest, std::string> digests;
    for (const auto& [key, rule] : m_rules->keys) {
        const std::string path = "keys." + key.str();
        require_known(path, "customer", rule.customer, m_rules->customers);
        require_unique(digests, path, rule.digest, "digest");
    }
}

void rules_checker::check_models()
{
    for (const auto& [model, rule] : m_rules->models) {
        const std::string path = "models." + model.str();
        require_pool(path, rule.pool, pool_kind::model);
        require_all_known(path, "customers", rule.customers, m_rules->customers);
    }
}

void rules_checker::check_routes()
{
    std::map<std::string, std::string> paths;
    for (const auto& [route, rule] : m_rules->routes) {
        const std::string path = "routes." + route.str();
        require_pool(path, rule.pool, pool_kind::service);
        require_all_known(path, "customers", rule.customers, m_rules->customers);
        require_unique(paths, path, rule.path, "path");
        if (!is_path(rule.path)) {
            refuse(path, "path is not a plain path that starts with '/'",
                   "write path = \"/...\" without spaces, '?' and '#'");
        }
        if (!std::all_of(rule.methods.begin(), rule.methods.end(), is_method)) {
            refuse(path, "methods holds a text that is no HTTP method",
                   "write them in capitals, such as POST");
        }
        if (rule.access == route_access::open && !rule.customers.empty()) {
            refuse(path, "is open to all and names customers", "leave out customers or the access");
        }
        if (rule.access == route_access::open && rule.repeat == repeat_policy::at_most_once) {
            refuse(path, "is open to all and runs at most once, but a ticket belongs to a customer",
                   "write access = \"customers\"");
        }
    }
}

void rules_checker::check_links()
{
    std::map<std::pair<region_name, region_name>, std::string> pairs;
    for (const auto& [link, rule] : m_rules->links) {
        const std::string path = "links." + link;
        require_known(path, "from", rule.from, m_rules->regions);
        require_known(path, "to", rule.to, m_rules->regions);
        require_unique(pairs, path, std::pair{rule.from, rule.to}, "pair of from and to");
        if (rule.from == rule.to) {
            refuse(path, "leads from a region to itself", "name two regions");
        }
    }
}

template <class Name, class Rule>
bool rules_checker::require_known(const std::string& rule, std::string_view field, const Name& wanted,
                                  const std::map<Name, Rule>& known)
{
    if (known.contains(wanted)) {
        return true;
    }
    refuse(rule, std::string{field} + " names " + quote(wanted.str()) + ", which is not defined",
           suggest_name(wanted.str(), names_of(known)));
    return false;
}

template <class Names, class Known>
void rules_checker::require_all_known(const std::string& rule, std::string_view field, const Names& wanted,
                                      const Known& known)
{
    for (const auto& item : wanted) {
        require_known(rule, field, item, known);
    }
}

void rules_checker::require_pool(const std::string& rule, const pool_name& pool, pool_kind kind)
{
    if (!require_known(rule, "pool", pool, m_rules->pools)) {
        return;
    }
    if (m_rules->pools.at(pool).kind != kind) {
        const std::string wanted = kind == pool_kind::model ? "model" : "service";
        refuse(rule, "pool " + quote(pool.str()) + " is not of kind " + quote(wanted),
               "name a pool of that kind");
    }
}

template <class Value>
void rules_checker::require_unique(std::map<Value, std::string>& seen, const std::string& rule,
                                   const Value& value, std::string_view field)
{
    const auto [entry, is_new] = seen.emplace(value, rule);
    if (!is_new) {
        refuse(rule, "has the same " + std::string{field} + " as " + entry->second, "write each one once");
    }
}

void rules_checker::refuse(const std::string& rule, const std::string& message, std::string remedy)
{
    if (m_error) {
        return;
    }
    const auto line = m_lines->find(rule);
    if (line == m_lines->end()) {
        m_error = error{error_kind::invalid_rules, message, std::move(remedy), {}, {}};
        return;
    }
    m_error = toml_error(error_kind::invalid_rules, line->second, rule + ": " + message, std::move(remedy));
}

} // namespace cardamomstream
