/// Where each rule stands in the file.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace cardamomstream {

/// Line of each rule by its dotted key, such as "customers.carrier".
using rule_line_numbers = std::map<std::string, std::size_t>;

} // namespace cardamomstream
