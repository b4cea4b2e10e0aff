#include "commands.h"

#include "cardamomstream/version/key_digest.h"

namespace cardamomstream {

namespace {

void print_rule(const std::string& customer, const std::string& digest)
{
    std::cout << "keys." << customer << "-N = { customer = \"" << customer << "\", digest = \"" << digest
              << "\" } # asked by: WHO\n";
}

int make_key(const std::string& customer)
{
    const auto key = new_key();
    if (!key) {
        return report(key.error(), exit_failed);
    }
    std::cout << "key, to be given to the customer and stored nowhere else:\n" << key.value() << "\n";
    std::cout << "line for the rule file:\n";
    print_rule(customer, format_digest(digest_of(key.value())));
    return exit_ok;
}

int hash_key(const std::string& customer)
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
        std::cerr << "cardamomstream: no key on standard input; write it there, followed by a new line\n";
        return exit_usage;
    }
    print_rule(customer, format_digest(digest_of(key)));
    return exit_ok;
}

} // namespace

int keys_command(int argc, char** argv)
{
    cxxopts::Options options(
        "cardamomstream keys",
        "Makes a key (new), or reads one from standard input (hash), and prints the line that publishes it.");
    options.positional_help("new|hash");
    options.add_options()("action", "new or hash", cxxopts::value<std::string>())(
        "customer", "customer that the key belongs to",
        cxxopts::value<std::string>()->default_value("CUSTOMER"), "NAME");
    options.parse_positional({"action"});
    return run_command(options, argc, argv, [&](const cxxopts::ParseResult& parsed) {
        const auto action = parsed.count("action") > 0 ? parsed["action"].as<std::string>() : std::string{};
        const auto customer = parsed["customer"].as<std::string>();
        if (action == "new") {
            return make_key(customer);
        }
        if (action == "hash") {
            return hash_key(customer);
        }
        std::cerr << "cardamomstream: unknown action \"" << action << "\"; use new or hash\n";
        return exit_usage;
    });
}

} // namespace cardamomstream
