/// Fiber scheduler that blocks in an io_context while no fiber is ready.
#pragma once

#include <chrono>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace cardamomstream {

/// Round-robin scheduler of one thread. I/O handlers run between fibers on the same thread, so that a handler
/// may wake a fiber without locks. An idle thread sleeps in `io_context::run_one`.
class io_scheduler final : public boost::fibers::algo::algorithm {
public:
    explicit io_scheduler(boost::asio::io_context& io);

    void awakened(boost::fibers::context* ready) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override;
    void notify() noexcept override;

private:
    /// Wakes the thread at `until` or earlier; the maximum sets no timer.
    void arm_timer(const std::chrono::steady_clock::time_point& until);

    boost::asio::io_context& m_io;
    boost::asio::steady_timer m_timer;
    boost::fibers::scheduler::ready_queue_type m_ready;
    std::chrono::steady_clock::time_point m_armed_until = std::chrono::steady_clock::time_point::max();
    unsigned m_picks_since_io = 0;
};

} // namespace cardamomstream
