/// Reads the settings file of one process.
///
/// TOML. Required: `vm`, `region`, `data_centre`, `listeners.{entry,peer,operators}`,
/// `platform.{configuration_address,list_address}` and one of `fleet.{credential,credential_file}`.
/// Optional: `seeds`, `platform.reads_per_hour`, `tls.{certificate,key,authority}`, `traffic.threads`,
/// `limits.{max_header_bytes,max_body_bytes,header_timeout_ms,body_timeout_ms,idle_timeout_ms,max_connections}`,
/// `stop.drain_limit_ms`, `log.{level,format}`, `events.capacity`,
/// `allowance.{loan_duration_ms,drift_margin_ms,lendable_fraction,loan_wait_ms}`,
/// `tickets.{lifetime_ms,run_by_ms,max_kept_answer_bytes}`.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/settings_types.h"

#include <string>
#include <string_view>

namespace cardamomstream {

/// Shortest fleet credential.
inline constexpr std::size_t min_credential_bytes = 16;

/// Reads and checks every key. Errors: `invalid_settings`, with line, key and remedy; no error repeats a
/// value, which may be the credential.
result<settings> read_settings(std::string_view text);

/// The fleet credential, from the settings or from the file that they name; white space around it is cut off.
/// Errors: `invalid_settings`, when the file cannot be read or is too short.
result<std::string> load_fleet_credential(const fleet_settings& fleet);

} // namespace cardamomstream
