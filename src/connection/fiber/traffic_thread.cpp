#include "cardamomstream/connection/traffic_thread.h"

#include "io_scheduler.h"

#include <memory>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>

namespace cardamomstream {

namespace {

// Beast's serializers and Boost.JSON parse on the stack; a guard page below it turns an overflow into a
// fault.
constexpr std::size_t fiber_stack_bytes = std::size_t{256} * 1024;

} // namespace

traffic_thread::traffic_thread()
    : m_work(boost::asio::make_work_guard(m_io))
    , m_thread([this] { run(); })
{
}

traffic_thread::~traffic_thread()
{
    stop();
}

void traffic_thread::spawn(std::function<void()> body)
{
    boost::asio::post(m_io, [body = std::move(body)]() mutable { start_here(std::move(body)).detach(); });
}

boost::fibers::fiber traffic_thread::start_here(std::function<void()> body)
{
    return {boost::fibers::launch::post, std::allocator_arg,
            boost::fibers::protected_fixedsize_stack(fiber_stack_bytes), std::move(body)};
}

void traffic_thread::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    m_stop.set_value();
    m_thread.join();
}

void traffic_thread::run()
{
    boost::fibers::use_scheduling_algorithm<io_scheduler>(m_io);
    m_stop.get_future().wait();
}

} // namespace cardamomstream
