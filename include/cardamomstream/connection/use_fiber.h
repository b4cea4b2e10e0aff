/// Completion token that suspends the calling fiber until an asynchronous operation is done.
#pragma once

#include <tuple>
#include <type_traits>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace cardamomstream {

/// Pass as the last argument of an Asio or Beast operation: `auto [ec, n] = socket.async_read_some(b,
/// use_fiber)`. The operation's handlers must run on the thread of the calling fiber.
struct use_fiber_t {};
inline constexpr use_fiber_t use_fiber{};

/// Suspends one fiber until a handler on the same thread wakes it.
class fiber_waiter {
public:
    fiber_waiter()
        : m_context(boost::fibers::context::active())
    {
    }

    void wait()
    {
        while (!m_done) {
            m_waiting = true;
            m_context->suspend();
        }
    }

    void wake()
    {
        m_done = true;
        if (std::exchange(m_waiting, false)) {
            boost::fibers::context::active()->schedule(m_context);
        }
    }

private:
    boost::fibers::context* m_context;
    bool m_done = false;
    bool m_waiting = false;
};

} // namespace cardamomstream

namespace boost::asio {

template <class... Values>
class async_result<cardamomstream::use_fiber_t, void(Values...)> {
public:
    using return_type =
        std::conditional_t<sizeof...(Values) == 1, std::tuple_element_t<0, std::tuple<Values..., int>>,
                           std::tuple<Values...>>;

    template <class Initiation, class... Args>
    static return_type initiate(Initiation&& initiation, cardamomstream::use_fiber_t /*token*/,
                                Args&&... args)
    {
        cardamomstream::fiber_waiter waiter;
        std::tuple<Values...> values;
        std::forward<Initiation>(initiation)(
            [&waiter, &values](Values... results) {
                values = std::tuple<Values...>(std::move(results)...);
                waiter.wake();
            },
            std::forward<Args>(args)...);
        waiter.wait();
        if constexpr (sizeof...(Values) == 1) {
            return std::get<0>(std::move(values));
        }
        else {
            return values;
        }
    }
};

} // namespace boost::asio
