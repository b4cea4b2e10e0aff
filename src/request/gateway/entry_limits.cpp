#include "cardamomstream/request/gateway/entry_limits.h"

#include <algorithm>

namespace cardamomstream {

entry_limits::entry_limits(const http_limits& unstated)
    : m_unstated(unstated)
    , m_current(unstated)
{
    m_current.provisional = true;
}

void entry_limits::apply(const caller_limits& stated, time_point now)
{
    std::erase_if(m_replaced, [now](const auto& replaced) { return replaced.until <= now; });
    if (!m_current.provisional) {
        m_replaced.push_back({m_current, now + notice_time});
    }
    m_current = m_unstated;
    m_current.max_header_bytes =
        std::min(stated.max_header_bytes.value_or(m_unstated.max_header_bytes), max_header_bytes);
    m_current.max_body_bytes =
        std::min(stated.max_body_bytes.value_or(m_unstated.max_body_bytes), max_body_bytes);
    m_current.header_timeout = stated.header_timeout.value_or(m_unstated.header_timeout);
    m_current.idle_timeout = stated.idle_timeout.value_or(m_unstated.idle_timeout);
}

http_limits entry_limits::at(time_point now) const
{
    auto limits = m_current;
    for (const auto& [replaced, until] : m_replaced) {
        if (until <= now) {
            continue;
        }
        limits.max_header_bytes = std::max(limits.max_header_bytes, replaced.max_header_bytes);
        limits.max_body_bytes = std::max(limits.max_body_bytes, replaced.max_body_bytes);
        limits.header_timeout = std::max(limits.header_timeout, replaced.header_timeout);
        limits.idle_timeout = std::max(limits.idle_timeout, replaced.idle_timeout);
    }
    return limits;
}

} // namespace cardamomstream
