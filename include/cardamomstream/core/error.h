/// Typed errors and the result type that carries them.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/try.hpp>

namespace cardamomstream {

/// What went wrong; stable, also as the code that callers see (see `code_of`).
enum class error_kind {
    invalid_argument,
    invalid_settings,
    invalid_rules,
    invalid_request,
    request_too_large,
    header_too_large,
    request_timeout,
    too_many_connections,
    unauthenticated,
    permission_denied,
    not_found,
    ticket_required,
    ticket_refused,
    outcome_unknown,
    allowance_exhausted,
    overloaded,
    prompt_quarantined,
    no_permitted_region,
    region_evacuated,
    stream_not_resumable,
    upstream_unavailable,
    upstream_timeout,
    upstream_failed,
    cancelled,
    peer_unavailable,
    platform_unavailable,
    stale_version,
    stopping,
    internal,
};

/// Whether the request has run at an upstream.
enum class run_outcome {
    not_run, ///< no byte of it has left for any upstream
    unknown, ///< some byte may have left
};

/// An error as it is logged and as a caller sees it.
struct error {
    error_kind kind = error_kind::internal;
    std::string message; ///< names the thing that is wrong
    std::string remedy;  ///< what its reader can do
    run_outcome outcome = run_outcome::not_run;
    std::optional<std::chrono::milliseconds> retry_after; ///< set where waiting helps
};

/// A value or a typed error.
template <class T>
using result = boost::outcome_v2::checked<T, error>;

/// Stable code of an error kind, such as "allowance_exhausted".
std::string_view code_of(error_kind kind) noexcept;

/// Message and remedy in one line.
std::string describe(const error& value);

} // namespace cardamomstream
