#include "cardamomstream/connection/error_response.h"

#include <chrono>

#include <boost/json.hpp>

namespace cardamomstream {

unsigned status_of(error_kind kind) noexcept
{
    switch (kind) {
    case error_kind::invalid_argument:
    case error_kind::invalid_settings:
    case error_kind::invalid_rules:
    case error_kind::invalid_request:
        return 400;
    case error_kind::unauthenticated:
        return 401;
    case error_kind::permission_denied:
        return 403;
    case error_kind::not_found:
        return 404;
    case error_kind::request_timeout:
        return 408;
    case error_kind::ticket_refused:
        return 409;
    case error_kind::request_too_large:
        return 413;
    case error_kind::header_too_large:
        return 431;
    case error_kind::ticket_required:
        return 428;
    case error_kind::allowance_exhausted:
    case error_kind::too_many_connections:
        return 429;
    case error_kind::cancelled:
        return 499;
    case error_kind::outcome_unknown:
    case error_kind::upstream_failed:
        return 502;
    case error_kind::overloaded:
    case error_kind::prompt_quarantined:
    case error_kind::no_permitted_region:
    case error_kind::region_evacuated:
    case error_kind::stream_not_resumable:
    case error_kind::upstream_unavailable:
    case error_kind::peer_unavailable:
    case error_kind::platform_unavailable:
    case error_kind::stale_version:
    case error_kind::stopping:
        return 503;
    case error_kind::upstream_timeout:
        return 504;
    case error_kind::internal:
        return 500;
    }
    return 500;
}

std::string error_body(const error& value, const request_id& id, std::string_view ticket)
{
    boost::json::object fields{
        {"code", code_of(value.kind)},
        {"message", value.message},
        {"remedy", value.remedy},
        {"outcome", value.outcome == run_outcome::not_run ? "not_run" : "unknown"},
        {"request_id", id.str()},
    };
    if (value.retry_after) {
        fields["retry_after_ms"] = value.retry_after->count();
    }
    if (!ticket.empty()) {
        fields["ticket"] = ticket;
    }
    return boost::json::serialize(boost::json::object{{"error", std::move(fields)}});
}

http_response error_response(const error& value, const request_id& id, std::string_view ticket)
{
    http_response response;
    response.head.status = status_of(value.kind);
    response.head.headers.push_back({"Content-Type", "application/json"});
    if (value.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*value.retry_after);
        response.head.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    response.body = error_body(value, id, ticket);
    return response;
}

} // namespace cardamomstream
