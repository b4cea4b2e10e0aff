#include "commands.h"
#include "gateway_process.h"
#include "log_setup.h"
#include "stop_signals.h"
#include "text_file.h"

#include "cardamomstream/process/settings_reader.h"

#include <csignal>
#include <cstdlib>
#include <future>
#include <memory>

#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

int serve(const settings& config)
{
    const auto signals = block_signals(serve_signals);
    set_up_log(config);
    auto created = gateway_process::create(config);
    if (!created) {
        return report(created.error(), exit_usage);
    }
    auto& gateway = *created.value();
    if (const auto started = gateway.start(); !started) {
        report(started.error(), exit_failed);
        std::_Exit(exit_failed);
    }
    int signal = 0;
    sigwait(&signals, &signal);
    std::promise<void> stopped;
    gateway.stop([&] { stopped.set_value(); });
    stopped.get_future().wait();
    spdlog::info("stopped");
    spdlog::shutdown();
    // Fibers that wait for a platform watch or a silent caller hold nothing that must be written.
    std::_Exit(exit_ok);
}

} // namespace

int serve_command(int argc, char** argv)
{
    cxxopts::Options options("cardamomstream serve", "Runs the gateway process of one VM until SIGTERM.");
    options.add_options()("settings", "settings of this process", cxxopts::value<std::string>(), "FILE");
    return run_command(options, argc, argv, [&](const cxxopts::ParseResult& parsed) {
        if (parsed.count("settings") == 0) {
            std::cerr << "cardamomstream: --settings FILE is missing\n";
            return exit_usage;
        }
        const auto path = parsed["settings"].as<std::string>();
        const auto text = read_text_file(path);
        if (!text) {
            return report(text.error(), exit_usage);
        }
        const auto config = read_settings(text.value());
        if (!config) {
            std::cerr << path << ": ";
            return report(config.error(), exit_usage);
        }
        return serve(config.value());
    });
}

} // namespace cardamomstream
