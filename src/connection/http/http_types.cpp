#include "cardamomstream/connection/http_types.h"

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

} // namespace cardamomstream
