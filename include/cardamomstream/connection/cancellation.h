/// Cancels the work done for one request.
#pragma once

#include <functional>
#include <utility>

namespace cardamomstream {

/// Lives on one traffic thread. Whoever waits for something sets what ends the wait; a caller that leaves, a
/// withdrawn key or a forced stop calls `cancel`.
class cancellation {
public:
    /// Runs at once if already cancelled. One action at a time; the last one set counts.
    void set_action(std::function<void()> action)
    {
        m_action = std::move(action);
        if (m_cancelled && m_action) {
            std::exchange(m_action, nullptr)();
        }
    }

    void clear_action() { m_action = nullptr; }

    void cancel()
    {
        m_cancelled = true;
        if (m_action) {
            std::exchange(m_action, nullptr)();
        }
    }

    bool cancelled() const noexcept { return m_cancelled; }

private:
    std::function<void()> m_action;
    bool m_cancelled = false;
};

} // namespace cardamomstream
