#include "cardamomstream/version/rules_reader.h"

#include "cardamomstream/version/key_digest.h"
#include "cardamomstream/version/toml_table_reader.h"
#include "rule_lines.h"
#include "rules_checker.h"

#include <array>
#include <utility>

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

/// Whether the comment on the rule's own line names somebody. A comment on the line before is not enough,
/// since it would stay behind when the rule moves.
bool names_who_asked(const toml_value& rule)
{
    if (rule.comments().empty()) {
        return false;
    }
    const std::string line = boost::algorithm::trim_right_copy(rule.location().line_str());
    const std::string comment = boost::algorithm::trim_copy(rule.comments().back());
    return line.ends_with(comment) && comment.starts_with(asked_by) && comment.size() > asked_by.size();
}

result<void> check_form(const toml_value& rule, const std::string& path)
{
    const auto refuse = [&](const std::string& message, const std::string& remedy) {
        return toml_error(error_kind::invalid_rules, line_of(rule), path + " " + message, remedy);
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
result<Rule> read_rule(const toml_value& value, const std::string& path)
{
    if (const auto form = check_form(value, path); !form) {
        return form.error();
    }
    Rule rule;
    toml_table_reader fields{value, path, error_kind::invalid_rules};
    read_fields(fields, rule);
    if (const auto finished = fields.finish(); !finished) {
        return finished.error();
    }
    return rule;
}

/// Reads all rules of one section, such as every `customers.NAME`.
template <class Name, class Rule>
result<void> read_section(const toml_value& section, const std::string& section_name,
                          std::map<Name, Rule>& target, rule_lines& lines)
{
    for (const auto& [key, value] : section.as_table(std::nothrow)) {
        std::string path = section_name;
        path.append(".").append(key);
        if (!is_valid_name(key)) {
            return toml_error(error_kind::invalid_rules, line_of(value),
                              section_name + " has a rule with a malformed name",
                              "write " + toml_codec<customer_name>::expected());
        }
        auto rule = read_rule<Rule>(value, path);
        if (!rule) {
            return rule.error();
        }
        target.emplace(Name{key}, std::move(rule).value());
        lines.emplace(path, line_of(value));
    }
    return boost::outcome_v2::success();
}

/// Reads the whole document, section by section; keeps the first error.
class document_reader {
public:
    explicit document_reader(const toml_value& document)
        : m_root(document, "", error_kind::invalid_rules)
    {
    }

    result<rules> read()
    {
        rules target;
        m_root.required("version", target.version, 1);
        read_one("regions", target.regions);
        read_one("vms", target.vms);
        read_one("customers", target.customers);
        read_one("keys", target.keys);
        read_one("pools", target.pools);
        read_one("models", target.models);
        read_one("routes", target.routes);
        read_one("links", target.links);
        if (const auto finished = m_root.finish(); !finished) {
            return finished.error();
        }
        if (m_error) {
            return *m_error;
        }
        if (const auto checked = rules_checker{target, m_lines}.check(); !checked) {
            return checked.error();
        }
        return target;
    }

private:
    template <class Name, class Rule>
    void read_one(const std::string& section_name, std::map<Name, Rule>& target)
    {
        const toml_value* section = m_root.find(section_name);
        if (section == nullptr || m_error) {
            return;
        }
        if (!section->is_table()) {
            m_root.refuse(section_name, "is not a section",
                          "write " + section_name + ".NAME = { ... } # asked by: WHO");
            return;
        }
        const auto finished = read_section(*section, section_name, target, m_lines);
        if (!finished) {
            m_error = finished.error();
        }
    }

    toml_table_reader m_root;
    rule_lines m_lines;
    std::optional<error> m_error;
};

} // namespace

result<rules> read_rules(std::string_view text)
{
    const auto document = parse_toml(text, error_kind::invalid_rules);
    if (!document) {
        return document.error();
    }
    return document_reader{document.value()}.read();
}

} // namespace cardamomstream
