#include "rule_line.h"

#include "cardamomstream/version/key_digest.h"
#include "cardamomstream/version/toml_table_reader.h"

#include <array>
#include <utility>
#include <vector>

#include <boost/algorithm/string/trim.hpp>

namespace cardamomstream {

template <>
struct toml_words<pool_kind> {
    static constexpr std::array words{
        std::pair{std::string_view{"model"}, pool_kind::model},
        std::pair{std::string_view{"service"}, pool_kind::service},
    };
};

template <>
struct toml_words<route_access> {
    static constexpr std::array words{
        std::pair{std::string_view{"customers"}, route_access::customers},
        std::pair{std::string_view{"open"}, route_access::open},
    };
};

template <>
struct toml_words<repeat_policy> {
    static constexpr std::array words{
        std::pair{std::string_view{"idempotent"}, repeat_policy::idempotent},
        std::pair{std::string_view{"at_most_once"}, repeat_policy::at_most_once},
    };
};

template <>
struct toml_codec<key_digest> {
    static std::optional<key_digest> read(const toml_value& value)
    {
        if (!value.is_string()) {
            return std::nullopt;
        }
        const auto digest = parse_digest(value.as_string(std::nothrow).str);
        return digest ? std::optional{digest.value()} : std::nullopt;
    }
    static std::string expected()
    {
        return "\"sha256:\" and 64 hexadecimal digits, as `cardamomstream keys hash` prints them";
    }
};

namespace {

constexpr std::string_view asked_by = "asked by:";
constexpr std::string_view version_key = "version";

void read_fields(toml_table_reader& fields, region_rule& rule)
{
    fields.required("data_centres", rule.data_centres);
}

void read_fields(toml_table_reader& fields, vm_rule& rule)
{
    fields.required("region", rule.region);
    fields.required("data_centre", rule.data_centre);
    fields.required("entry", rule.entry);
    fields.required("peer", rule.peer);
}

void read_fields(toml_table_reader& fields, customer_rule& rule)
{
    fields.required("rate", rule.rate, token_rate{1});
    fields.required("burst", rule.burst, 1);
    fields.optional("regions", rule.regions);
    fields.optional("demand_shares", rule.demand_shares);
    fields.optional("queue_weight", rule.queue_weight, 0.01);
    fields.optional("max_connections", rule.max_connections, 1);
}

void read_fields(toml_table_reader& fields, key_rule& rule)
{
    fields.required("customer", rule.customer);
    fields.required("digest", rule.digest);
}

void read_fields(toml_table_reader& fields, pool_rule& rule)
{
    fields.required("kind", rule.kind);
    fields.optional("first_byte_ms", rule.first_byte_limit);
    fields.optional("chunk_gap_ms", rule.chunk_gap_limit);
    fields.optional("total_ms", rule.total_limit);
    fields.optional("first_token_target_ms", rule.first_token_target);
}

void read_fields(toml_table_reader& fields, model_rule& rule)
{
    fields.required("pool", rule.pool);
    fields.optional("customers", rule.customers);
}

void read_fields(toml_table_reader& fields, route_rule& rule)
{
    fields.required("path", rule.path);
    fields.optional("methods", rule.methods);
    fields.required("pool", rule.pool);
    fields.optional("access", rule.access);
    fields.optional("repeat", rule.repeat);
    fields.optional("customers", rule.customers);
    fields.optional("cost", rule.cost);
}

void read_fields(toml_table_reader& fields, link_rule& rule)
{
    fields.required("from", rule.from);
    fields.required("to", rule.to);
    fields.required("requests_per_second", rule.requests_per_second);
}

/// Whether the rule is an inline table; a table under a header or of deeper dotted keys starts otherwise.
bool is_inline_table(const toml_value& rule)
{
    const auto location = rule.location();
    const std::size_t start = location.column() - 1;
    return rule.is_table() && start < location.line_str().size() && location.line_str()[start] == '{';
}

/// Whether the comment on the rule's line names somebody.
bool names_who_asked(const toml_value& rule)
{
    if (rule.comments().empty()) {
        return false;
    }
    const std::string comment = boost::algorithm::trim_copy(rule.comments().back());
    return comment.starts_with(asked_by) && comment.size() > asked_by.size();
}

result<void> check_form(const toml_value& rule, const std::string& path, std::size_t line)
{
    const auto refuse = [&](const std::string& message, const std::string& remedy) {
        return toml_error(error_kind::invalid_rules, line, path + " " + message, remedy);
    };
    if (!is_inline_table(rule)) {
        return refuse("is not one inline table", "write " + path + " = { ... } # asked by: WHO on one line");
    }
    if (!names_who_asked(rule)) {
        return refuse("does not say who asked for it", "end its line with # asked by: WHO");
    }
    return boost::outcome_v2::success();
}

template <class Rule>
result<rule_value> read_rule(const toml_value& value, const std::string& path, std::size_t line)
{
    if (const auto form = check_form(value, path, line); !form) {
        return form.error();
    }
    Rule rule;
    toml_table_reader fields{value, path, error_kind::invalid_rules, line};
    read_fields(fields, rule);
    if (const auto finished = fields.finish(); !finished) {
        return finished.error();
    }
    return rule_value{std::move(rule)};
}

struct section {
    std::string_view name;
    result<rule_value> (*read)(const toml_value& value, const std::string& path, std::size_t line);
};

constexpr std::array sections{
    section{"regions", read_rule<region_rule>},     section{"vms", read_rule<vm_rule>},
    section{"customers", read_rule<customer_rule>}, section{"keys", read_rule<key_rule>},
    section{"pools", read_rule<pool_rule>},         section{"models", read_rule<model_rule>},
    section{"routes", read_rule<route_rule>},       section{"links", read_rule<link_rule>},
};

error unknown_section(const std::string& name, std::size_t line)
{
    std::vector<std::string> known{std::string{version_key}};
    for (const auto& candidate : sections) {
        known.emplace_back(candidate.name);
    }
    return toml_error(error_kind::invalid_rules, line, name + " is not a known key",
                      suggest_name(name, known));
}

result<rule_line> read_version(const toml_value& document, std::size_t line)
{
    version_number version = 0;
    toml_table_reader fields{document, "", error_kind::invalid_rules, line};
    fields.required(version_key, version, 1);
    if (const auto finished = fields.finish(); !finished) {
        return finished.error();
    }
    return rule_line{std::string{version_key}, {}, version};
}

result<rule_line> read_section_line(const section& of, const toml_value& content, std::size_t line)
{
    const std::string section_name{of.name};
    const bool is_dotted = content.is_table() && !is_inline_table(content) && content.size() == 1;
    if (!is_dotted) {
        return toml_error(error_kind::invalid_rules, line, section_name + " is not one rule",
                          "write " + section_name + ".NAME = { ... } # asked by: WHO");
    }
    const auto& [name, value] = *content.as_table(std::nothrow).begin();
    if (!is_valid_name(name)) {
        return toml_error(error_kind::invalid_rules, line, section_name + " has a rule with a malformed name",
                          "write " + toml_codec<customer_name>::expected());
    }
    std::string path = section_name;
    path.append(".").append(name);
    auto rule = of.read(value, path, line);
    if (!rule) {
        return rule.error();
    }
    return rule_line{std::move(path), name, std::move(rule).value()};
}

} // namespace

result<rule_line> read_rule_line(std::string_view text, std::size_t line)
{
    const auto document = parse_toml(text, error_kind::invalid_rules, line);
    if (!document) {
        return document.error();
    }
    const auto& [key, content] = *document.value().as_table(std::nothrow).begin();
    if (key == version_key) {
        return read_version(document.value(), line);
    }
    for (const auto& candidate : sections) {
        if (candidate.name == key) {
            return read_section_line(candidate, content, line);
        }
    }
    return unknown_section(key, line);
}

} // namespace cardamomstream
