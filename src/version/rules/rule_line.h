/// One line of the rule file.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/version/rules_types.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace cardamomstream {

/// What a line may say; the number of the version is one of them.
using rule_value = std::variant<version_number, region_rule, vm_rule, customer_rule, key_rule, pool_rule,
                                model_rule, route_rule, link_rule>;

/// A line that has been read.
struct rule_line {
    std::string path; ///< dotted key, such as "customers.carrier"
    std::string name; ///< its last part; empty for the version
    rule_value value;
};

/// Reads one line that holds a rule or the version. The result depends on the text alone, the errors also on
/// the number of the line.
result<rule_line> read_rule_line(std::string_view text, std::size_t line);

} // namespace cardamomstream
