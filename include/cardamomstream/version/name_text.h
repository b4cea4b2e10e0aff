/// Checks on names in operators' files, and the suggestion for a misspelt one.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cardamomstream {

/// Longest name of a region, VM, customer, key, pool, model, route or link.
inline constexpr std::size_t max_name_length = 64;

/// Whether the text may be a name: 1 to `max_name_length` letters, digits, '.', '_', '-', '/' or ':'.
/// Such a name can stand in a log field, a metric label and an HTTP header without escapes.
bool is_valid_name(std::string_view text) noexcept;

/// Levenshtein distance: the least number of characters to insert, delete or replace.
std::size_t edit_distance(std::string_view from, std::string_view to);

/// A remedy for an unknown name: the nearest known name, or all of them when none is near.
std::string suggest_name(std::string_view unknown, const std::vector<std::string>& known);

} // namespace cardamomstream
