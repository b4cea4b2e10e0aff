/// The programs under test.
#pragma once

#include "fleet.h"
#include "gateway_calls.h"

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>

#include <catch2/catch.hpp>

namespace cardamomstream::test_support {

inline program_paths programs()
{
    return {GATEWAY_PROGRAM, STANDINS_PROGRAM};
}

inline const call status_call{"GET", "/filing/status", "", keys::carrier, {}};
inline const call open_call{"GET", "/public/hours", "", "", {}};

/// Rules without the lines that start with `prefix`.
inline std::vector<std::string> rules_without(std::vector<std::string> lines, const std::string& prefix)
{
    std::erase_if(lines, [&](const std::string& line) { return line.starts_with(prefix); });
    return lines;
}

} // namespace cardamomstream::test_support
