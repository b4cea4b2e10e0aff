#include "../commands.h"
#include "../log_setup.h"
#include "../stop_signals.h"
#include "../text_file.h"
#include "node_process.h"

#include "platform/settings_file.h"

#include <csignal>
#include <cstdlib>

#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

result<node_settings> read_file(const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto text, read_text_file(path));
    return platform::read_settings_file(text);
}

int run_node(const std::string& path, const node_settings& settings)
{
    const auto signals = block_signals(node_signals);
    set_up_node_log(settings.vm);
    node_process node(settings);
    if (const auto started = node.start(); !started) {
        report(started.error(), exit_failed);
        std::_Exit(exit_failed);
    }
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
        const auto changed = read_file(path);
        if (changed) {
            node.reload(changed.value());
        }
        else {
            spdlog::warn("the settings file can't be read again: {}", describe(changed.error()));
        }
    }
    node.stop();
    spdlog::shutdown();
    // Fibers that wait for a watch of the store or a silent caller hold nothing that must be written.
    std::_Exit(exit_ok);
}

} // namespace

int node_command(int argc, char** argv)
{
    cxxopts::Options options("cardamomstream node",
                             "Runs the gateway of one VM of a platform that publishes plans in a store.");
    options.add_options()("settings", "settings file; default: the platform's variable",
                          cxxopts::value<std::string>(), "FILE")("check", "validate the settings and end");
    return run_command(options, argc, argv, [&](const cxxopts::ParseResult& parsed) {
        const auto path =
            parsed.count("settings") > 0 ? parsed["settings"].as<std::string>() : platform::settings_path();
        if (path.empty()) {
            std::cerr << "cardamomstream: no settings file; give --settings FILE\n";
            return exit_usage;
        }
        const auto settings = read_file(path);
        if (!settings) {
            std::cerr << path << ": ";
            return report(settings.error(), exit_usage);
        }
        return parsed.count("check") > 0 ? exit_ok : run_node(path, settings.value());
    });
}

} // namespace cardamomstream
