/// A value with the mutex that guards it.
#pragma once

#include <mutex>
#include <utility>

namespace cardamomstream {

/// The value can be reached only while the mutex is held. Hold it for a decision, never across a fiber
/// switch.
template <class Value>
class synchronized {
public:
    template <class... Args>
    explicit synchronized(Args&&... args)
        : m_value(std::forward<Args>(args)...)
    {
    }

    template <class Action>
    auto with_lock(Action&& action)
    {
        const std::lock_guard lock(m_mutex);
        return std::forward<Action>(action)(m_value);
    }

private:
    std::mutex m_mutex;
    Value m_value;
};

} // namespace cardamomstream
