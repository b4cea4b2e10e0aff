#include "cardamomstream/connection/http_types.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

namespace cardamomstream {

std::string_view header_value(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (boost::beast::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view http_request::query() const
{
    const auto mark = target.find('?');
    return mark == std::string::npos ? std::string_view{} : std::string_view(target).substr(mark + 1);
}

std::string_view http_request::query_parameter(std::string_view name) const
{
    auto rest = query();
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

} // namespace cardamomstream
