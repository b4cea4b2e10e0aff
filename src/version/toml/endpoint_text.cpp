#include "cardamomstream/version/endpoint_text.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace cardamomstream {
namespace {

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (failure != std::errc{} || end != text.data() + text.size() || port == 0) {
        return std::nullopt;
    }
    return port;
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool in_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (in_brackets) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(std::string{host}, failure);
    if (failure || !port || address.is_v6() != in_brackets) {
        return std::nullopt;
    }
    return endpoint{address.to_string(), *port};
}

std::string format_endpoint(const endpoint& value)
{
    if (value.address.find(':') == std::string::npos) {
        return value.str();
    }
    return "[" + value.address + "]:" + std::to_string(value.port);
}

} // namespace cardamomstream
