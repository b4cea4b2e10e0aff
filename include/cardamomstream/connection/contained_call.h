/// Keeps a fault of one request or connection from ending the process.
#pragma once

#include <exception>
#include <string_view>

#include <spdlog/spdlog.h>

namespace cardamomstream {

/// Runs the action. False, with a log line that begins with `context`, if it throws.
template <class Action>
bool run_contained(std::string_view context, const Action& action)
{
    try {
        action();
        return true;
    }
    catch (const std::exception& failure) {
        spdlog::error("{}: {}", context, failure.what());
        return false;
    }
}

} // namespace cardamomstream
