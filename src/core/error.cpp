#include "cardamomstream/core/error.h"

namespace cardamomstream {

std::string_view code_of(error_kind kind) noexcept
{
    switch (kind) {
    case error_kind::invalid_argument:
        return "invalid_argument";
    case error_kind::invalid_settings:
        return "invalid_settings";
    case error_kind::invalid_rules:
        return "invalid_rules";
    case error_kind::invalid_request:
        return "invalid_request";
    case error_kind::request_too_large:
        return "request_too_large";
    case error_kind::header_too_large:
        return "header_too_large";
    case error_kind::request_timeout:
        return "request_timeout";
    case error_kind::too_many_connections:
        return "too_many_connections";
    case error_kind::unauthenticated:
        return "unauthenticated";
    case error_kind::permission_denied:
        return "permission_denied";
    case error_kind::not_found:
        return "not_found";
    case error_kind::ticket_required:
        return "ticket_required";
    case error_kind::ticket_refused:
        return "ticket_refused";
    case error_kind::outcome_unknown:
        return "outcome_unknown";
    case error_kind::allowance_exhausted:
        return "allowance_exhausted";
    case error_kind::overloaded:
        return "overloaded";
    case error_kind::no_permitted_region:
        return "no_permitted_region";
    case error_kind::prompt_quarantined:
        return "prompt_quarantined";
    case error_kind::stream_not_resumable:
        return "stream_not_resumable";
    case error_kind::region_evacuated:
        return "region_evacuated";
    case error_kind::upstream_unavailable:
        return "upstream_unavailable";
    case error_kind::upstream_timeout:
        return "upstream_timeout";
    case error_kind::upstream_failed:
        return "upstream_failed";
    case error_kind::cancelled:
        return "cancelled";
    case error_kind::peer_unavailable:
        return "peer_unavailable";
    case error_kind::platform_unavailable:
        return "platform_unavailable";
    case error_kind::stale_version:
        return "stale_version";
    case error_kind::stopping:
        return "stopping";
    case error_kind::internal:
        return "internal";
    }
    return "internal";
}

std::string describe(const error& value)
{
    if (value.remedy.empty()) {
        return value.message;
    }
    return value.message + "; " + value.remedy;
}

} // namespace cardamomstream
