#include "cardamomstream/version/rules_reader.h"

#include "cardamomstream/version/toml_document.h"
#include "rule_line.h"
#include "rule_line_numbers.h"
#include "rules_checker.h"

#include <utility>

namespace cardamomstream {
namespace {

void add(rules& target, const std::string& /*name*/, const version_number& version)
{
    target.version = version;
}

void add(rules& target, const std::string& name, const region_rule& rule)
{
    target.regions.emplace(name, rule);
}

void add(rules& target, const std::string& name, const vm_rule& rule)
{
    target.vms.emplace(name, rule);
}

void add(rules& target, const std::string& name, const customer_rule& rule)
{
    target.customers.emplace(name, rule);
}

void add(rules& target, const std::string& name, const key_rule& rule)
{
    target.keys.emplace(name, rule);
}

void add(rules& target, const std::string& name, const pool_rule& rule)
{
    target.pools.emplace(name, rule);
}

void add(rules& target, const std::string& name, const model_rule& rule)
{
    target.models.emplace(name, rule);
}

void add(rules& target, const std::string& name, const route_rule& rule)
{
    target.routes.emplace(name, rule);
}

void add(rules& target, const std::string& name, const link_rule& rule)
{
    target.links.emplace(name, rule);
}

bool holds_rule(std::string_view line)
{
    const auto first = line.find_first_not_of(" \t");
    return first != std::string_view::npos && line[first] != '#';
}

/// Takes the next line off the text, without its line end.
std::string_view next_line(std::string_view& text)
{
    const auto end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

/// Puts the lines of one version together and checks the whole.
class rules_builder {
public:
    result<void> add_line(const rule_line& line, std::size_t number)
    {
        const auto [earlier, is_new] = m_lines.emplace(line.path, number);
        if (!is_new) {
            return toml_error(error_kind::invalid_rules, number,
                              line.path + " stands already on line " + std::to_string(earlier->second),
                              "write each name once");
        }
        std::visit([&](const auto& value) { add(m_rules, line.name, value); }, line.value);
        return boost::outcome_v2::success();
    }

    result<rules> finish()
    {
        if (m_lines.empty()) {
            return error{
                error_kind::invalid_rules, "the file is empty", "write the version and the rules", {}, {}};
        }
        if (m_rules.version == 0) {
            return error{error_kind::invalid_rules, "version is missing", "write version = NUMBER", {}, {}};
        }
        if (const auto checked = rules_checker{m_rules, m_lines}.check(); !checked) {
            return checked.error();
        }
        return std::move(m_rules);
    }

private:
    rules m_rules;
    rule_line_numbers m_lines;
};

} // namespace

result<rules> rules_reader::read(std::string_view text)
{
    if (text.size() > max_toml_bytes) {
        return error{error_kind::invalid_rules, "the file is larger than a megabyte", "shorten it", {}, {}};
    }
    line_cache kept;
    rules_builder builder;
    for (std::size_t number = 1; !text.empty(); ++number) {
        const std::string_view line = next_line(text);
        if (!holds_rule(line)) {
            continue;
        }
        const auto read = read_line(line, number);
        if (!read) {
            return read.error();
        }
        kept.emplace(line, read.value());
        if (const auto added = builder.add_line(*read.value(), number); !added) {
            return added.error();
        }
    }
    m_lines = std::move(kept);
    return builder.finish();
}

result<std::shared_ptr<const rule_line>> rules_reader::read_line(std::string_view line, std::size_t number)
{
    if (const auto known = m_lines.find(line); known != m_lines.end()) {
        return known->second;
    }
    auto read = read_rule_line(line, number);
    if (!read) {
        return read.error();
    }
    return std::make_shared<const rule_line>(std::move(read).value());
}

result<rules> read_rules(std::string_view text)
{
    return rules_reader{}.read(text);
}

} // namespace cardamomstream
