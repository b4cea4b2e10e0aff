/// Addresses for processes of tests that run side by side.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <string>

namespace cardamomstream::test_support {

/// Loopback address that belongs to this test process alone, derived from its process id.
const std::string& loopback_address();

/// A port of `loopback_address()` on which nothing listens; never given out twice by one process.
endpoint free_port();

} // namespace cardamomstream::test_support
