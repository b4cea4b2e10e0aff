/// Settings of one process, as plain values with their defaults.
#pragma once

#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// Where the process listens.
struct listener_settings {
    endpoint entry;     ///< for callers
    endpoint peer;      ///< for other VMs
    endpoint operators; ///< metrics, health and events; not for callers
};

/// The platform's services, which are only read.
struct platform_settings {
    endpoint configuration_address;
    endpoint list_address;
    std::uint32_t reads_per_hour = 3'600; ///< budget of this VM; a waiting watch counts as one read
};

/// Proof of belonging to the fleet that VMs present to each other: one of the two is set.
struct fleet_settings {
    std::optional<std::string> credential;
    std::optional<std::string> credential_file;
};

/// PEM files for TLS between VMs.
struct tls_settings {
    std::string certificate;
    std::string key;
    std::string authority;
};

struct traffic_settings {
    std::uint32_t threads = 2;
};

/// Limits on what a caller may send and hold.
struct limit_settings {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    std::chrono::milliseconds header_timeout{5'000}; ///< for the whole header
    std::chrono::milliseconds body_timeout{30'000};  ///< for the whole body
    std::chrono::milliseconds idle_timeout{60'000};  ///< between two requests of a connection
    std::uint32_t max_connections = 10'000;          ///< over all customers
};

struct stop_settings {
    std::chrono::milliseconds drain_limit{330'000}; ///< streams that still run then are cut off
};

enum class log_level { debug, info, warning, error };

enum class log_format { text, json };

struct log_settings {
    log_level level = log_level::info;
    log_format format = log_format::text;
};

struct event_settings {
    std::size_t capacity = 20'000; ///< events kept; the oldest go first
};

/// How this VM lends and borrows allowance.
struct allowance_settings {
    std::chrono::milliseconds loan_duration{10'000};
    std::chrono::milliseconds drift_margin{250}; ///< a borrower stops by so much before the end of a loan
    double lendable_fraction = 0.5;              ///< of a part
    std::chrono::milliseconds loan_wait{250};    ///< a request waits at most so long for a loan
};

/// Tickets of calls that run at most once.
struct ticket_limits {
    std::chrono::milliseconds lifetime{330'000}; ///< from issue until the ticket is forgotten
    std::chrono::milliseconds run_by{30'000}; ///< from issue until the last moment at which a run may start
    std::size_t max_kept_answer_bytes = 16'777'216; ///< over all answers kept for replay
};

/// All settings of one process.
struct settings {
    vm_name vm;
    region_name region;
    data_centre_name data_centre;
    std::vector<endpoint> seeds; ///< peers to ask for the rules while the configuration service is down
    listener_settings listeners;
    platform_settings platform;
    fleet_settings fleet;
    std::optional<tls_settings> tls;
    traffic_settings traffic;
    limit_settings limits;
    stop_settings stop;
    log_settings log;
    event_settings events;
    allowance_settings allowance;
    ticket_limits tickets;
};

} // namespace cardamomstream
