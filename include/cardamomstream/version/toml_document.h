/// TOML text as a document whose values know their line and comments.
#pragma once

#include "cardamomstream/core/error.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml.hpp>

namespace cardamomstream {

/// One value of a document.
using toml_value = toml::basic_value<toml::preserve_comments, std::map, std::vector>;

/// Largest document that is read; the platform's service holds values up to a megabyte.
inline constexpr std::size_t max_toml_bytes = 1'048'576;

/// Parses a document. Errors are of `kind` and name the line; an empty document is refused. Where the text is
/// part of a file, `first_line` is the line at which it starts there.
result<toml_value> parse_toml(std::string_view text, error_kind kind, std::size_t first_line = 1);

/// Line of a value in its document, from 1. Takes time in proportion to that line: ask on errors only.
std::size_t line_of(const toml_value& value);

/// The number that a floating-point value was written as. The parser's own number follows the global locale;
/// this one does not. Empty when the text is no number.
std::optional<double> floating_of(const toml_value& value);

/// An error at a line of a document.
error toml_error(error_kind kind, std::size_t line, const std::string& message, std::string remedy);

} // namespace cardamomstream
