#include "caller_watch.h"

#include <sys/socket.h>
#include <utility>

namespace cardamomstream {

void caller_watch::start(std::function<void()> notify)
{
    if (caller_has_left()) {
        notify(); // a busy process may read a request long after it came
        return;
    }
    m_notify = std::move(notify);
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& ec) {
                            if (ec || !self->m_notify || !self->caller_has_left()) {
                                return;
                            }
                            std::exchange(self->m_notify, nullptr)();
                        });
}

void caller_watch::stop()
{
    m_notify = nullptr;
}

bool caller_watch::caller_has_left()
{
    char byte = 0;
    const auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace cardamomstream
