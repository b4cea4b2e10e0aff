/// One TCP connection to a server, with the limits that tell a silent connection from a slow server.
#pragma once

#include "cardamomstream/connection/read_buffer.h"
#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace cardamomstream {

class client_connection {
public:
    client_connection(boost::asio::io_context& io, std::shared_ptr<memory_limit> memory)
        : m_socket(io)
        , m_buffer(make_read_buffer(std::move(memory)))
    {
    }

    /// Errors: upstream_unavailable, not run.
    result<void> connect(const endpoint& address, std::chrono::milliseconds limit,
                         std::chrono::milliseconds user_timeout);

    /// Why the last `connect` failed.
    boost::system::error_code connect_error() const noexcept { return m_connect_error; }

    /// False when the server has closed it or has sent bytes that nobody asked for.
    bool usable();
    void close();

    boost::asio::ip::tcp::socket& socket() noexcept { return m_socket; }
    read_buffer& buffer() noexcept { return m_buffer; }

    time_point connected_at;
    time_point idle_since;
    bool has_carried_request = false;

private:
    boost::asio::ip::tcp::socket m_socket;
    read_buffer m_buffer;
    boost::system::error_code m_connect_error;
};

} // namespace cardamomstream
