/// Line-based differences between two texts. The rule file has one rule per line, so a delta is small. Pure
/// functions.
#pragma once

#include "cardamomstream/process/configuration_types.h"

#include <string_view>

namespace cardamomstream {

/// SHA-256 of a text.
document_digest digest_text(std::string_view text);

/// Edits that turn `old_text` into `new_text`, ascending and not overlapping.
std::vector<line_edit> diff_lines(std::string_view old_text, std::string_view new_text);

/// Applies edits. Error `invalid_argument` for edits that overlap or reach past the end.
result<std::string> apply_edits(std::string_view old_text, const std::vector<line_edit>& edits);

/// Estimated size: the bytes of the added lines, and a fixed overhead for the delta and each edit.
std::size_t delta_bytes(const version_delta& value);

} // namespace cardamomstream
