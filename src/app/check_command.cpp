#include "commands.h"
#include "text_file.h"

#include "cardamomstream/process/settings_reader.h"
#include "cardamomstream/version/rules_reader.h"

namespace cardamomstream {

namespace {

result<void> check_settings(const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto text, read_text_file(path));
    BOOST_OUTCOME_TRY(const auto read, read_settings(text));
    BOOST_OUTCOME_TRY(load_fleet_credential(read.fleet));
    std::cout << path << ": settings of VM " << read.vm.str() << " in region " << read.region.str()
              << " are valid\n";
    return boost::outcome_v2::success();
}

result<void> check_rules(const std::string& path)
{
    BOOST_OUTCOME_TRY(const auto text, read_text_file(path));
    BOOST_OUTCOME_TRY(const auto published, read_rules(text));
    std::cout << path << ": version " << published.version << " is valid: " << published.regions.size()
              << " regions, " << published.vms.size() << " VMs, " << published.customers.size()
              << " customers, " << published.keys.size() << " keys, " << published.routes.size()
              << " routes, " << published.models.size() << " models\n";
    return boost::outcome_v2::success();
}

} // namespace

int check_command(int argc, char** argv)
{
    cxxopts::Options options("cardamomstream check",
                             "Validates settings and rules; exits with 2 when one is refused.");
    options.add_options()("settings", "settings of one process", cxxopts::value<std::string>(),
                          "FILE")("rules", "the operators' rule file", cxxopts::value<std::string>(), "FILE");
    return run_command(options, argc, argv, [&](const cxxopts::ParseResult& parsed) {
        if (parsed.count("settings") + parsed.count("rules") == 0) {
            std::cerr << "cardamomstream: nothing to check; give --settings or --rules\n";
            return exit_usage;
        }
        int code = exit_ok;
        if (parsed.count("settings") > 0) {
            const auto path = parsed["settings"].as<std::string>();
            if (const auto checked = check_settings(path); !checked) {
                std::cerr << path << ": ";
                code = report(checked.error(), exit_usage);
            }
        }
        if (parsed.count("rules") > 0) {
            const auto path = parsed["rules"].as<std::string>();
            if (const auto checked = check_rules(path); !checked) {
                std::cerr << path << ": ";
                code = report(checked.error(), exit_usage);
            }
        }
        return code;
    });
}

} // namespace cardamomstream
