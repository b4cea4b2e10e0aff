#include "commands.h"
#include "stop_signals.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <string_view>

namespace {

struct command {
    std::string_view name;
    std::string_view summary;
    std::function<int(int, char**)> run;
};

const std::array<command, 6>& commands()
{
    static const std::array<command, 6> all{{
        {"serve", "run the gateway process of one VM", cardamomstream::serve_command},
        {"node", "run the gateway of one VM of a platform that publishes in a store",
         cardamomstream::node_command},
        {"check", "validate settings and rules", cardamomstream::check_command},
        {"timeline", "merge the events of several processes", cardamomstream::timeline_command},
        {"explain", "tell what was decided for one request", cardamomstream::explain_command},
        {"keys", "make a key or the digest that publishes it", cardamomstream::keys_command},
    }};
    return all;
}

void print_usage(std::ostream& out)
{
    out << "usage: cardamomstream COMMAND [OPTIONS]\n\ncommands:\n";
    for (const auto& one : commands()) {
        out << "  " << one.name << std::string(12 - one.name.size(), ' ') << one.summary << "\n";
    }
    out << "\n`cardamomstream COMMAND --help` shows the options of a command.\n";
}

/// A signal that comes while the libraries are initialized waits too, until the command asks for it.
void hold_early_signals(int argc, char** argv, char** /*environment*/)
{
    const auto awaited = argc > 1 ? cardamomstream::signals_awaited_by(argv[1]) : std::span<const int>();
    if (!awaited.empty()) {
        cardamomstream::block_signals(awaited);
    }
}

// The loader calls it before any initializer.
[[gnu::section(".preinit_array"), gnu::used]] void (*const run_first)(int, char**,
                                                                      char**) = hold_early_signals;

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        print_usage(std::cerr);
        return cardamomstream::exit_usage;
    }
    const std::string_view name = argv[1];
    if (name == "--help" || name == "-h") {
        print_usage(std::cout);
        return cardamomstream::exit_ok;
    }
    const auto& all = commands();
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& one) { return one.name == name; });
    if (found == all.end()) {
        std::cerr << "cardamomstream: unknown command \"" << name << "\"\n\n";
        print_usage(std::cerr);
        return cardamomstream::exit_usage;
    }
    return found->run(argc - 1, argv + 1);
}
