#include "cardamomstream/process/fleet_view.h"

#include <utility>

namespace cardamomstream {

fleet_view_snapshot view_holder::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void view_holder::store(fleet_view_snapshot view)
{
    {
        const std::lock_guard lock(m_mutex);
        m_view = std::move(view);
    }
    for (const auto& notify : m_subscribers) {
        notify();
    }
}

void view_holder::subscribe(std::function<void()> notify)
{
    m_subscribers.push_back(std::move(notify));
}

} // namespace cardamomstream
