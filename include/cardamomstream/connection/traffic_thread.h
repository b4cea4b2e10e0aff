/// A thread that runs fibers and I/O of its own io_context.
#pragma once

#include <functional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/future.hpp>

namespace cardamomstream {

/// Owns one io_context and the thread on which its handlers and fibers run. The destructor waits for every
/// fiber to return, so the owner ends its sessions first.
class traffic_thread {
public:
    traffic_thread();
    ~traffic_thread();
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;
    traffic_thread(traffic_thread&&) = delete;
    traffic_thread& operator=(traffic_thread&&) = delete;

    boost::asio::io_context& io() noexcept { return m_io; }

    /// Starts a fiber on this thread; may be called from any thread.
    void spawn(std::function<void()> body);

    /// Starts a fiber on the calling thread, which is a traffic thread.
    static boost::fibers::fiber start_here(std::function<void()> body);

    /// Ends the thread once its fibers have returned; later calls do nothing.
    void stop();

private:
    void run();

    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::fibers::promise<void> m_stop;
    std::thread m_thread;
};

} // namespace cardamomstream
