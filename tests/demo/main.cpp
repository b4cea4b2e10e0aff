// Command line of the demo.
#include "demo.h"

#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

namespace {

int run(int argc, char** argv)
{
    using namespace cardamomstream;
    cxxopts::Options options("cardamomstream-demo", "Two regions with two VMs each, on loopback.");
    options.add_options()("binary", "path of cardamomstream", cxxopts::value<std::string>())(
        "standins", "path of cardamomstream-standins", cxxopts::value<std::string>())(
        "keep", "keep settings, rules and logs", cxxopts::value<bool>()->default_value("false"));
    const auto parsed = options.parse(argc, argv);
    test_support::fleet_plan plan =
        test_support::two_regions({std::filesystem::absolute(parsed["binary"].as<std::string>()),
                                   std::filesystem::absolute(parsed["standins"].as<std::string>())});
    plan.keep_files = parsed["keep"].as<bool>();
    std::cout << "Start the platform, two engines, one service and four VMs" << std::endl;
    test_support::fleet fleet(plan);
    std::cout << "  files in " << fleet.directory().string() << '\n';
    if (!demo::demo(fleet).run()) {
        std::cout << fleet.log_tails();
        return 1;
    }
    std::cout << "Every step did what it shows.\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& failure) {
        std::cerr << "cardamomstream-demo: " << failure.what() << '\n';
        return 1;
    }
}
