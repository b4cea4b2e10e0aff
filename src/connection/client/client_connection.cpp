#include "client_connection.h"

#include "cardamomstream/connection/io_deadline.h"
#include "cardamomstream/connection/use_fiber.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cardamomstream {

using boost::asio::ip::tcp;
using user_timeout_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

namespace {

error unavailable(const endpoint& address, const std::string& reason)
{
    return {error_kind::upstream_unavailable,
            "cannot connect to " + address.str() + ": " + reason,
            "try again; the request has not run",
            {},
            {}};
}

} // namespace

result<void> client_connection::connect(const endpoint& address, std::chrono::milliseconds limit,
                                        std::chrono::milliseconds user_timeout)
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.address, ec);
    if (ec) {
        return unavailable(address, "not an IP number");
    }
    io_deadline deadline(m_socket, limit);
    ec = m_socket.async_connect(tcp::endpoint{ip, address.port}, use_fiber);
    m_connect_error = ec;
    if (ec) {
        close();
        return unavailable(address, deadline.expired() ? "no answer in time" : ec.message());
    }
    connected_at = boot_clock::now();
    m_socket.set_option(tcp::no_delay(true), ec);
    m_socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
    m_socket.set_option(user_timeout_option(static_cast<int>(user_timeout.count())), ec);
    return boost::outcome_v2::success();
}

bool client_connection::usable()
{
    if (!m_socket.is_open() || m_buffer.size() != 0) {
        return false;
    }
    char byte = 0;
    const auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace cardamomstream
