/// The commands of the program. Each takes its own arguments, the command's name first, and gives the exit
/// code.
#pragma once

#include "cardamomstream/core/error.h"

#include <iostream>
#include <string>

#include <cxxopts.hpp>

namespace cardamomstream {

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

int serve_command(int argc, char** argv);
int node_command(int argc, char** argv);
int check_command(int argc, char** argv);
int timeline_command(int argc, char** argv);
int explain_command(int argc, char** argv);
int keys_command(int argc, char** argv);

/// Prints message and remedy to standard error; gives `code`.
inline int report(const error& failure, int code)
{
    std::cerr << "cardamomstream: " << describe(failure) << "\n";
    return code;
}

/// Parses the options and runs the command; a malformed option ends it with the usage.
template <class Run>
int run_command(cxxopts::Options& options, int argc, char** argv, Run run)
{
    options.add_options()("h,help", "show this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\n";
            return exit_ok;
        }
        return run(parsed);
    }
    catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << "cardamomstream: " << failure.what() << "\n\n" << options.help() << "\n";
        return exit_usage;
    }
}

} // namespace cardamomstream
