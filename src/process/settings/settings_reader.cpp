#include "cardamomstream/process/settings_reader.h"

#include "cardamomstream/version/toml_table_reader.h"

#include <array>
#include <fstream>
#include <iterator>
#include <utility>

#include <boost/algorithm/string/trim.hpp>

namespace cardamomstream {

template <>
struct toml_words<log_level> {
    static constexpr std::array words{
        std::pair{std::string_view{"debug"}, log_level::debug},
        std::pair{std::string_view{"info"}, log_level::info},
        std::pair{std::string_view{"warning"}, log_level::warning},
        std::pair{std::string_view{"error"}, log_level::error},
    };
};

template <>
struct toml_words<log_format> {
    static constexpr std::array words{
        std::pair{std::string_view{"text"}, log_format::text},
        std::pair{std::string_view{"json"}, log_format::json},
    };
};

namespace {

constexpr std::uint32_t max_traffic_threads = 256;

void read_listeners(toml_table_reader& fields, listener_settings& listeners)
{
    fields.required("entry", listeners.entry);
    fields.required("peer", listeners.peer);
    fields.required("operators", listeners.operators);
    if (listeners.peer == listeners.entry) {
        fields.refuse("peer", "is the entry listener", "give each listener its own port");
    }
    if (listeners.operators == listeners.entry || listeners.operators == listeners.peer) {
        fields.refuse("operators", "is another listener", "give each listener its own port");
    }
}

void read_platform(toml_table_reader& fields, platform_settings& platform)
{
    fields.required("configuration_address", platform.configuration_address);
    fields.required("list_address", platform.list_address);
    fields.optional("reads_per_hour", platform.reads_per_hour, 1);
}

void read_fleet(toml_table_reader& fields, fleet_settings& fleet)
{
    fields.optional("credential", fleet.credential);
    fields.optional("credential_file", fleet.credential_file);
    if (fleet.credential.has_value() == fleet.credential_file.has_value()) {
        fields.refuse("credential", "and credential_file are both set or both missing",
                      "write one of the two");
    }
    if (fleet.credential && fleet.credential->size() < min_credential_bytes) {
        fields.refuse("credential", "is too short",
                      "write at least " + std::to_string(min_credential_bytes) + " characters");
    }
}

void read_tls(toml_table_reader& fields, tls_settings& tls)
{
    fields.required("certificate", tls.certificate);
    fields.required("key", tls.key);
    fields.required("authority", tls.authority);
}

void read_traffic(toml_table_reader& fields, traffic_settings& traffic)
{
    fields.optional("threads", traffic.threads, 1);
    if (traffic.threads > max_traffic_threads) {
        fields.refuse("threads", "is too large",
                      "write a number of at most " + std::to_string(max_traffic_threads));
    }
}

void read_limits(toml_table_reader& fields, limit_settings& limits)
{
    fields.optional("max_header_bytes", limits.max_header_bytes, 1'024);
    fields.optional("max_body_bytes", limits.max_body_bytes, 1'024);
    fields.optional("header_timeout_ms", limits.header_timeout);
    fields.optional("body_timeout_ms", limits.body_timeout);
    fields.optional("idle_timeout_ms", limits.idle_timeout);
    fields.optional("max_connections", limits.max_connections, 1);
}

void read_log(toml_table_reader& fields, log_settings& log)
{
    fields.optional("level", log.level);
    fields.optional("format", log.format);
}

void read_allowance(toml_table_reader& fields, allowance_settings& allowance)
{
    fields.optional("loan_duration_ms", allowance.loan_duration);
    fields.optional("drift_margin_ms", allowance.drift_margin);
    fields.optional("lendable_fraction", allowance.lendable_fraction);
    fields.optional("loan_wait_ms", allowance.loan_wait);
    if (allowance.lendable_fraction > 1) {
        fields.refuse("lendable_fraction", "is too large", "write a number from 0 to 1");
    }
    if (allowance.drift_margin >= allowance.loan_duration) {
        fields.refuse("drift_margin_ms", "is not shorter than loan_duration_ms",
                      "shorten it; a borrower stops by so much before the end");
    }
}

void read_tickets(toml_table_reader& fields, ticket_limits& tickets)
{
    fields.optional("lifetime_ms", tickets.lifetime);
    fields.optional("run_by_ms", tickets.run_by);
    fields.optional("max_kept_answer_bytes", tickets.max_kept_answer_bytes);
    if (tickets.run_by >= tickets.lifetime) {
        fields.refuse("run_by_ms", "is not shorter than lifetime_ms",
                      "shorten it; an answer is kept between the two");
    }
}

void read_optional_tables(toml_table_reader& fields, settings& target)
{
    using table = toml_table_reader&;
    fields.optional_table("tls", [&](table inner) { read_tls(inner, target.tls.emplace()); });
    fields.optional_table("traffic", [&](table inner) { read_traffic(inner, target.traffic); });
    fields.optional_table("limits", [&](table inner) { read_limits(inner, target.limits); });
    fields.optional_table("stop",
                          [&](table inner) { inner.optional("drain_limit_ms", target.stop.drain_limit); });
    fields.optional_table("log", [&](table inner) { read_log(inner, target.log); });
    fields.optional_table("events",
                          [&](table inner) { inner.optional("capacity", target.events.capacity, 1); });
    fields.optional_table("allowance", [&](table inner) { read_allowance(inner, target.allowance); });
    fields.optional_table("tickets", [&](table inner) { read_tickets(inner, target.tickets); });
}

error credential_error(const fleet_settings& fleet, const std::string& problem)
{
    return error{error_kind::invalid_settings,
                 "fleet.credential_file \"" + fleet.credential_file.value_or("") + "\" " + problem,
                 "name a readable file with at least " + std::to_string(min_credential_bytes) + " characters",
                 {},
                 {}};
}

} // namespace

result<settings> read_settings(std::string_view text)
{
    const auto document = parse_toml(text, error_kind::invalid_settings);
    if (!document) {
        return document.error();
    }
    using table = toml_table_reader&;
    settings target;
    toml_table_reader fields{document.value(), "", error_kind::invalid_settings};
    fields.required("vm", target.vm);
    fields.required("region", target.region);
    fields.required("data_centre", target.data_centre);
    fields.optional("seeds", target.seeds);
    fields.required_table("listeners", [&](table inner) { read_listeners(inner, target.listeners); });
    fields.required_table("platform", [&](table inner) { read_platform(inner, target.platform); });
    fields.required_table("fleet", [&](table inner) { read_fleet(inner, target.fleet); });
    read_optional_tables(fields, target);
    if (const auto finished = fields.finish(); !finished) {
        return finished.error();
    }
    return target;
}

result<std::string> load_fleet_credential(const fleet_settings& fleet)
{
    if (fleet.credential) {
        return *fleet.credential;
    }
    std::ifstream file{fleet.credential_file.value_or("")};
    if (!file) {
        return credential_error(fleet, "cannot be opened");
    }
    std::string credential{std::istreambuf_iterator<char>{file}, {}};
    boost::algorithm::trim(credential);
    if (credential.size() < min_credential_bytes) {
        return credential_error(fleet, "is too short");
    }
    return credential;
}

} // namespace cardamomstream
