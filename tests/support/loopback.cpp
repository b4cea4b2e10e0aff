#include "loopback.h"

#include <cstdint>
#include <set>

#include <boost/asio.hpp>
#include <unistd.h>

namespace cardamomstream::test_support {

namespace {

/// 127.64.0.0/10 is left to tests; process ids have at most 22 bits.
std::string address_of(std::uint32_t pid)
{
    constexpr std::uint32_t base = (127U << 24U) | (64U << 16U);
    constexpr std::uint32_t pid_mask = (1U << 22U) - 1;
    return boost::asio::ip::make_address_v4(base | (pid & pid_mask)).to_string();
}

} // namespace

const std::string& loopback_address()
{
    static const std::string address = address_of(static_cast<std::uint32_t>(::getpid()));
    return address;
}

endpoint free_port()
{
    using boost::asio::ip::tcp;
    static std::set<std::uint16_t> given;
    boost::asio::io_context context;
    const auto address = boost::asio::ip::make_address(loopback_address());
    for (;;) {
        const tcp::acceptor acceptor(context, tcp::endpoint(address, 0));
        const std::uint16_t port = acceptor.local_endpoint().port();
        if (given.insert(port).second) {
            return {loopback_address(), port};
        }
    }
}

} // namespace cardamomstream::test_support
