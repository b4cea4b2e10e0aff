/// Reads the platform's services. Never writes.
#pragma once

#include "control_state.h"

#include <chrono>
#include <optional>
#include <string>

namespace cardamomstream {

/// A value as the platform publishes it.
struct published_value {
    version_number version = 0;
    std::string text;
};

/// Reads a key of the configuration service; with `after` and a wait it returns once a newer version is
/// there, and nothing when the wait is over. Counts as one read. Errors: platform_unavailable.
result<std::optional<published_value>> read_platform(control_state& state, platform_service service,
                                                     const std::string& key, version_number after,
                                                     std::chrono::milliseconds wait);

} // namespace cardamomstream
