/// Whole text files.
#pragma once

#include "cardamomstream/core/error.h"

#include <string>

namespace cardamomstream {

/// Errors: invalid_argument, when the file cannot be read.
result<std::string> read_text_file(const std::string& path);

} // namespace cardamomstream
