/// Reads the operators' rule file.
///
/// The file is TOML with one rule on each line: a dotted key `section.name`, an inline table, and a comment
/// that names who asked for the rule:
///
///     version = 12
///     customers.carrier = { rate = 400, burst = 1200, regions = ["riga"] } # asked by: carrier desk
///
/// Sections: regions, vms, customers, keys, pools, models, routes, links. Each line is read by itself, so a
/// new version costs the parsing of the lines that changed.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/version/rules_types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cardamomstream {

struct rule_line;

/// Reads version after version and remembers the lines of the last one that it could read to its end. What
/// it remembers changes the time and never the verdict. For one thread.
class rules_reader {
public:
    /// Reads and checks one version whole. The verdict depends on the bytes alone, so every VM reaches the
    /// same. Errors: `invalid_rules`, with line, key and remedy.
    result<rules> read(std::string_view text);

private:
    using line_cache = std::map<std::string, std::shared_ptr<const rule_line>, std::less<>>;

    result<std::shared_ptr<const rule_line>> read_line(std::string_view line, std::size_t number);

    line_cache m_lines; ///< by text
};

/// Reads one version with nothing remembered; see `rules_reader::read`.
result<rules> read_rules(std::string_view text);

} // namespace cardamomstream
