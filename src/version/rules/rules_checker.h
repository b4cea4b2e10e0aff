/// Checks that span several rules: references, and values that only one rule may have.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/version/rules_types.h"
#include "rule_line_numbers.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomstream {

/// Checks one version of the rules whose fields have been read.
class rules_checker {
public:
    rules_checker(const rules& checked, const rule_line_numbers& lines);

    /// The first fault found, as `invalid_rules`.
    result<void> check();

private:
    void check_presence();
    void check_regions();
    void check_vms();
    void check_customers();
    void check_keys();
    void check_models();
    void check_routes();
    void check_links();

    template <class Name, class Rule>
    bool require_known(const std::string& rule, std::string_view field, const Name& wanted,
                       const std::map<Name, Rule>& known);
    template <class Names, class Known>
    void require_all_known(const std::string& rule, std::string_view field, const Names& wanted,
                           const Known& known);
    void require_pool(const std::string& rule, const pool_name& pool, pool_kind kind);
    template <class Value>
    void require_unique(std::map<Value, std::string>& seen, const std::string& rule, const Value& value,
                        std::string_view field);
    void refuse(const std::string& rule, const std::string& message, std::string remedy);

    const rules* m_rules;
    const rule_line_numbers* m_lines;
    std::optional<error> m_error;
};

} // namespace cardamomstream
