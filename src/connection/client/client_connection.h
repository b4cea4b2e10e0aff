/// One TCP connection to a server, with the limits that tell a silent connection from a slow server.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace cardamomstream {

class client_connection {
public:
    explicit client_connection(boost::asio::io_context& io)
        : m_socket(io)
    {
    }

    /// Errors: upstream_unavailable, not run.
    result<void> connect(const endpoint& address, std::chrono::milliseconds limit,
                         std::chrono::milliseconds user_timeout);

    /// False when the server has closed it or has sent bytes that nobody asked for.
    bool usable();
    void close();

    boost::asio::ip::tcp::socket& socket() noexcept { return m_socket; }
    boost::beast::flat_buffer& buffer() noexcept { return m_buffer; }

    time_point idle_since;
    bool has_carried_request = false;

private:
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

} // namespace cardamomstream
