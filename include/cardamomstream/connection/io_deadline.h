/// Time limit of the operations pending on a socket.
#pragma once

#include <chrono>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace cardamomstream {

/// Cancels the socket's pending operations when the time is over, and leaves the socket open: a refusal can
/// still be written (Beast's own stream timeout closes it). Lives on the socket's thread.
class io_deadline {
public:
    io_deadline(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit)
        : m_state(std::make_shared<state>(state{&socket, false}))
        , m_timer(socket.get_executor(), limit)
    {
        m_timer.async_wait([shared = m_state](const boost::system::error_code& ec) {
            if (ec || shared->socket == nullptr) {
                return;
            }
            shared->expired = true;
            boost::system::error_code ignored;
            shared->socket->cancel(ignored);
        });
    }

    ~io_deadline() { m_state->socket = nullptr; }
    io_deadline(const io_deadline&) = delete;
    io_deadline& operator=(const io_deadline&) = delete;
    io_deadline(io_deadline&&) = delete;
    io_deadline& operator=(io_deadline&&) = delete;

    bool expired() const noexcept { return m_state->expired; }

private:
    struct state {
        boost::asio::ip::tcp::socket* socket;
        bool expired;
    };

    std::shared_ptr<state> m_state;
    boost::asio::steady_timer m_timer;
};

} // namespace cardamomstream
