#include "cardamomstream/request/gateway/gateway_types.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/beast/core/string.hpp>

namespace cardamomstream {

namespace {

using boost::beast::iequals;

constexpr std::array<std::string_view, 10> connection_headers{
    "Connection",         "Keep-Alive", "Proxy-Connection", "TE",     "Trailer", "Transfer-Encoding",
    "Proxy-Authenticate", "Upgrade",    "Content-Length",   "Expect",
};

bool is_connection_header(std::string_view name)
{
    return std::any_of(connection_headers.begin(), connection_headers.end(),
                       [&](std::string_view one) { return iequals(one, name); });
}

/// True when `list`, the value of a `Connection` header, contains the name.
bool is_listed(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        auto item = list.substr(0, comma);
        item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
        item = item.substr(0, item.find_last_not_of(" \t") + 1);
        if (iequals(item, name)) {
            return true;
        }
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return false;
}

} // namespace

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers)
{
    const auto listed = header_value(headers, "Connection");
    std::vector<http_header> kept;
    kept.reserve(headers.size());
    for (const auto& header : headers) {
        if (!is_connection_header(header.name) && !is_listed(listed, header.name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

void remove_header(std::vector<http_header>& headers, std::string_view name)
{
    std::erase_if(headers, [&](const http_header& header) { return iequals(header.name, name); });
}

void set_header(std::vector<http_header>& headers, std::string_view name, std::string value)
{
    remove_header(headers, name);
    headers.push_back({std::string(name), std::move(value)});
}

std::string describe_homes(const std::set<region_name>& regions, const std::set<region_name>& permitted)
{
    if (permitted == regions) {
        return {};
    }
    std::string text;
    for (const auto& region : permitted) {
        text += (text.empty() ? "" : " ") + region.str();
    }
    return text.empty() ? "none" : text;
}

} // namespace cardamomstream
