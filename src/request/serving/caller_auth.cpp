#include "caller_auth.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/url/pct_string_view.hpp>

namespace cardamomstream {

namespace {

constexpr std::string_view scheme = "Bearer ";
constexpr std::size_t min_key_bytes = 8;

constexpr std::array<std::string_view, 4> forwarded_request_headers{"Accept", "Accept-Language",
                                                                    "Content-Language", "Content-Type"};
constexpr std::array<std::string_view, 5> relayed_response_headers{"Cache-Control", "Content-Language",
                                                                   "Content-Type", "ETag", "Retry-After"};

error unauthenticated(std::string message)
{
    return {error_kind::unauthenticated,
            std::move(message),
            "send Authorization: Bearer KEY with a key that is in force",
            run_outcome::not_run,
            {}};
}

bool is_one_of(std::string_view name, const auto& names)
{
    return std::any_of(names.begin(), names.end(),
                       [&](auto known) { return boost::beast::iequals(name, known); });
}

result<std::string_view> presented_key(const std::vector<http_header>& headers)
{
    std::string_view value;
    for (const auto& header : headers) {
        if (!boost::beast::iequals(header.name, "Authorization")) {
            continue;
        }
        if (!value.empty()) {
            return unauthenticated("the request has two Authorization headers");
        }
        value = header.value;
    }
    if (value.empty()) {
        return std::string_view{};
    }
    if (value.size() <= scheme.size() || !boost::beast::iequals(value.substr(0, scheme.size()), scheme)) {
        return unauthenticated("the Authorization header is no bearer key");
    }
    value.remove_prefix(scheme.size());
    if (value.size() < min_key_bytes) {
        return unauthenticated("the key is not known");
    }
    return value;
}

std::string percent_decoded(std::string_view target)
{
    const auto view =
        boost::urls::make_pct_string_view(boost::urls::string_view(target.data(), target.size()));
    if (!view) {
        return std::string(target);
    }
    boost::urls::encoding_opts options;
    options.space_as_plus = false;
    return view->decode(options);
}

bool contains_key(const http_request& request, std::string_view key)
{
    return request.target.find(key) != std::string::npos || request.body.find(key) != std::string::npos ||
           percent_decoded(request.target).find(key) != std::string::npos;
}

} // namespace

result<std::optional<caller_identity>> authenticate(const http_request& request, const fleet_view& view)
{
    BOOST_OUTCOME_TRY(const auto key, presented_key(request.headers));
    if (key.empty()) {
        return std::optional<caller_identity>{};
    }
    const auto digest = digest_of(key);
    const auto owner = view.keys ? view.keys->find(digest) : std::nullopt;
    if (!owner) {
        return unauthenticated("the key is not known or has been withdrawn");
    }
    if (contains_key(request, key)) {
        return error{error_kind::invalid_request,
                     "the key stands in the target or the body of the request",
                     "send the key in the Authorization header only",
                     run_outcome::not_run,
                     {}};
    }
    return std::optional<caller_identity>({owner->customer, digest});
}

std::vector<http_header> upstream_headers(const http_request& request, const request_id& id)
{
    const auto key = presented_key(request.headers);
    std::vector<http_header> headers{{"X-Request-Id", id.str()}};
    for (const auto& header : request.headers) {
        const bool has_key =
            key && !key.value().empty() && header.value.find(key.value()) != std::string::npos;
        if (is_one_of(header.name, forwarded_request_headers) && !has_key) {
            headers.push_back(header);
        }
    }
    return headers;
}

http_response_head caller_head(const http_response_head& head, const request_id& id)
{
    http_response_head passed{head.status, {{"X-Request-Id", id.str()}}, head.ends_with_connection};
    for (const auto& header : head.headers) {
        if (is_one_of(header.name, relayed_response_headers)) {
            passed.headers.push_back(header);
        }
    }
    return passed;
}

} // namespace cardamomstream
