/// Reads the operators' rule file.
///
/// The file is TOML with one rule on each line: a dotted key `section.name`, an inline table, and a comment
/// that names who asked for the rule:
///
///     version = 12
///     customers.carrier = { rate = 400, burst = 1200, regions = ["riga"] } # asked by: carrier desk
///
/// Sections: regions, vms, customers, keys, pools, models, routes, links.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/version/rules_types.h"

#include <string_view>

namespace cardamomstream {

/// Reads and checks one version whole. The verdict depends on the bytes alone, so every VM reaches the same.
/// Errors: `invalid_rules`, with line, key and remedy.
result<rules> read_rules(std::string_view text);

} // namespace cardamomstream
