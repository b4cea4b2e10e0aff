#include "request_target.h"

#include <boost/url/parse.hpp>
#include <boost/url/url.hpp>

namespace cardamomstream {

namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view models_path = "/v1/models";
constexpr std::string_view entry_path = "/v1/entry";

error not_found(const http_request& request)
{
    return {error_kind::not_found,
            "no route for " + request.method + " " + std::string(request.path()),
            "use /v1/chat/completions, /v1/models, /v1/entry or a route of the rules",
            run_outcome::not_run,
            {}};
}

bool is_under_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

/// Whether an upstream could interpret the path differently from the matching of routes.
bool is_ambiguous(const boost::urls::url_view& target)
{
    const auto segments = target.segments();
    std::size_t left = segments.size();
    for (const auto& segment : segments) {
        --left;
        const bool inner_empty = segment.empty() && left > 0;
        if (segment == "." || segment == ".." || inner_empty || segment.find('/') != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

result<request_target> find_target(const http_request& request, const rules& published)
{
    const auto parsed = boost::urls::parse_origin_form(request.target);
    if (!parsed) {
        return error{error_kind::invalid_request,
                     "the request target is malformed",
                     "send a path such as /v1/models",
                     run_outcome::not_run,
                     {}};
    }
    if (is_ambiguous(*parsed)) {
        return error{error_kind::invalid_request,
                     "the request path holds dot segments, empty segments or an encoded slash",
                     "send the plain path of the route",
                     run_outcome::not_run,
                     {}};
    }
    boost::urls::url target(*parsed);
    target.normalize();
    const std::string path = target.path();
    if (path == chat_path && request.method == "POST") {
        return request_target{model_target{}};
    }
    if (path == models_path && request.method == "GET") {
        return request_target{models_target{}};
    }
    if (path == entry_path && request.method == "GET") {
        return request_target{entry_target{}};
    }
    route_target best;
    for (const auto& [name, route] : published.routes) {
        const bool method_matches = route.methods.empty() || route.methods.contains(request.method);
        const bool longer = best.rule == nullptr || route.path.size() > best.rule->path.size();
        if (method_matches && longer && is_under_prefix(path, route.path)) {
            best = {name, &route, std::string(target.buffer())};
        }
    }
    if (best.rule == nullptr) {
        return not_found(request);
    }
    return request_target{std::move(best)};
}

bool may_use(const std::set<customer_name>& allowed, const customer_name& customer)
{
    return allowed.empty() || allowed.contains(customer);
}

} // namespace cardamomstream
