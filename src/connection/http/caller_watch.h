/// Notices a caller that closes its connection while its request is being answered.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

namespace cardamomstream {

/// Watches one socket for end of stream. Data that the caller sends early stays unread for the next request.
class caller_watch : public std::enable_shared_from_this<caller_watch> {
public:
    explicit caller_watch(boost::asio::ip::tcp::socket& socket)
        : m_socket(socket)
    {
    }

    /// Calls `notify` at once if the caller has left already.
    void start(std::function<void()> notify);

    /// Nothing is called after this.
    void stop();

private:
    bool caller_has_left();

    boost::asio::ip::tcp::socket& m_socket;
    std::function<void()> m_notify;
};

} // namespace cardamomstream
