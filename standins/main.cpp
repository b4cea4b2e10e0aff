// Command line of the stand-ins: one sub-command for each outside system.
#include "engine.h"
#include "http_server.h"
#include "platform.h"
#include "proxy.h"
#include "service.h"

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>

#include <cxxopts.hpp>

namespace {

using namespace cardamomstream::standins;

constexpr int exit_usage = 2;

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void run_until_signal(asio::io_context& context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
}

template <http_application App>
void serve_until_signal(asio::io_context& context, const std::string& address, App& app)
{
    asio::co_spawn(context, serve(listen(context, address), app), asio::detached);
    run_until_signal(context);
}

cxxopts::Options options_of(const std::string& command)
{
    cxxopts::Options options("cardamomstream-standins " + command);
    options.add_options()("listen", "address, IP:PORT", cxxopts::value<std::string>());
    return options;
}

void run_platform(int argc, char** argv)
{
    auto options = options_of("platform");
    options.add_options()("rules", "first value of the key rules", cxxopts::value<std::string>())(
        "vms", "first value of the key vms", cxxopts::value<std::string>());
    const auto parsed = options.parse(argc, argv);
    asio::io_context context(1);
    platform app(context);
    for (const char* key : {"rules", "vms"}) {
        if (parsed.count(key) > 0) {
            app.put(key, read_file(parsed[key].as<std::string>()));
        }
    }
    serve_until_signal(context, parsed["listen"].as<std::string>(), app);
}

void run_engine(int argc, char** argv)
{
    engine_settings settings;
    auto options = options_of("engine");
    options.add_options()("name", "name of the engine", cxxopts::value(settings.name))(
        "tokens-per-second", "speed of one request",
        cxxopts::value(settings.tokens_per_second))("prefill-tokens-per-second", "speed over all prompts",
                                                    cxxopts::value(settings.prefill_tokens_per_second))(
        "slots", "batch size", cxxopts::value(settings.slots))("seed", "0: each answer has max_tokens",
                                                               cxxopts::value(settings.seed))(
        "cache-blocks", "memory of the prefix cache in blocks of 64 characters",
        cxxopts::value(settings.cache_blocks))("load-lag-ms", "age that a load report reaches",
                                               cxxopts::value<std::int64_t>()->default_value("500"))(
        "refuse-old-fencing", "refuse orders with an old number",
        cxxopts::value(settings.refuse_old_fencing));
    const auto parsed = options.parse(argc, argv);
    settings.load_lag = std::chrono::milliseconds(parsed["load-lag-ms"].as<std::int64_t>());
    asio::io_context context(1);
    engine app(std::move(settings));
    serve_until_signal(context, parsed["listen"].as<std::string>(), app);
}

void run_service(int argc, char** argv)
{
    auto options = options_of("service");
    options.add_options()("name", "name of the service", cxxopts::value<std::string>());
    const auto parsed = options.parse(argc, argv);
    asio::io_context context(1);
    service app(parsed["name"].as<std::string>());
    serve_until_signal(context, parsed["listen"].as<std::string>(), app);
}

void run_proxy(int argc, char** argv)
{
    proxy_settings settings;
    auto options = options_of("proxy");
    options.add_options()("to", "target, IP:PORT", cxxopts::value(settings.to))(
        "control", "address of the control page, IP:PORT", cxxopts::value<std::string>())(
        "delay-ms", "one way", cxxopts::value<std::int64_t>()->default_value("0"))(
        "jitter-ms", "added at random", cxxopts::value<std::int64_t>()->default_value("0"))(
        "rate-bytes", "bytes a second in each direction; 0: no limit",
        cxxopts::value(settings.bytes_per_second))("seed", "for the jitter", cxxopts::value(settings.seed));
    const auto parsed = options.parse(argc, argv);
    settings.listen = parsed["listen"].as<std::string>();
    settings.delay = std::chrono::milliseconds(parsed["delay-ms"].as<std::int64_t>());
    settings.jitter = std::chrono::milliseconds(parsed["jitter-ms"].as<std::int64_t>());
    asio::io_context context(1);
    proxy app(context, std::move(settings));
    app.start();
    if (parsed.count("control") == 0) {
        run_until_signal(context);
        return;
    }
    // The control address is printed second.
    serve_until_signal(context, parsed["control"].as<std::string>(), app);
}

int run(int argc, char** argv)
{
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "platform") {
        run_platform(argc - 1, argv + 1);
    }
    else if (command == "engine") {
        run_engine(argc - 1, argv + 1);
    }
    else if (command == "service") {
        run_service(argc - 1, argv + 1);
    }
    else if (command == "proxy") {
        run_proxy(argc - 1, argv + 1);
    }
    else {
        std::cerr << "usage: cardamomstream-standins platform|engine|service|proxy --listen IP:PORT ...\n";
        return exit_usage;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& failure) {
        std::cerr << "cardamomstream-standins: " << failure.what() << '\n';
        return exit_usage;
    }
}
