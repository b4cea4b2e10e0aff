#include "io_scheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/type.hpp>

namespace cardamomstream {

namespace {

constexpr unsigned max_picks_between_io = 64;

} // namespace

io_scheduler::io_scheduler(boost::asio::io_context& io)
    : m_io(io)
    , m_timer(io)
{
}

void io_scheduler::awakened(boost::fibers::context* ready) noexcept
{
    ready->ready_link(m_ready);
}

boost::fibers::context* io_scheduler::pick_next() noexcept
{
    if (m_ready.empty()) {
        return nullptr;
    }
    // While some fiber is always ready, suspend_until is never called: I/O is polled from here now and then.
    if (++m_picks_since_io >= max_picks_between_io) {
        m_picks_since_io = 0;
        m_io.poll();
    }
    auto* next = &m_ready.front();
    m_ready.pop_front();
    return next;
}

bool io_scheduler::has_ready_fibers() const noexcept
{
    return !m_ready.empty();
}

void io_scheduler::suspend_until(const std::chrono::steady_clock::time_point& until) noexcept
{
    arm_timer(until);
    m_picks_since_io = 0;
    m_io.run_one();
    m_io.poll();
}

void io_scheduler::arm_timer(const std::chrono::steady_clock::time_point& until)
{
    // Setting a pending timer anew cancels its wait, and the cancelled handler would wake run_one at once: a
    // thread that did so at each turn would spin until the timer is due.
    if (until >= m_armed_until) {
        return;
    }
    m_armed_until = until;
    m_timer.expires_at(until);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) {
            m_armed_until = std::chrono::steady_clock::time_point::max();
        }
    });
}

void io_scheduler::notify() noexcept
{
    boost::asio::post(m_io, [] {});
}

} // namespace cardamomstream
