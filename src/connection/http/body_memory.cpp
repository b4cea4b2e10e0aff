#include "cardamomstream/connection/body_memory.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

body_memory::body_memory(body_memory_settings settings)
    : m_settings(settings)
{
}

body_memory::account::account(std::shared_ptr<body_memory> memory, std::function<void()> cut, time_point now)
    : m_memory(std::move(memory))
{
    const std::lock_guard lock(m_memory->m_mutex);
    m_state = m_memory->m_accounts.insert(m_memory->m_accounts.end(), account_state{});
    m_state->cut = std::move(cut);
    m_state->progressed_at = now;
}

body_memory::account::~account()
{
    const std::lock_guard lock(m_memory->m_mutex);
    m_memory->m_bytes -= m_state->bytes;
    m_memory->m_accounts.erase(m_state);
}

memory_grant body_memory::account::grow(std::size_t bytes, std::size_t missing, time_point now)
{
    cut_actions cuts;
    auto grant = memory_grant::refused;
    {
        const std::lock_guard lock(m_memory->m_mutex);
        grant = m_memory->grow(*m_state, bytes, missing, now, cuts);
    }
    for (const auto& cut : cuts) {
        cut();
    }
    return grant;
}

void body_memory::account::complete()
{
    const std::lock_guard lock(m_memory->m_mutex);
    m_state->complete = true;
}

void body_memory::make_room_for(std::size_t body_bytes)
{
    const std::lock_guard lock(m_mutex);
    m_settings.max_bytes = std::max(m_settings.max_bytes, limit_with_room_for(body_bytes));
}

std::size_t body_memory::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

memory_grant body_memory::grow(account_state& grown, std::size_t bytes, std::size_t missing, time_point now,
                               cut_actions& cuts)
{
    const bool small = grown.bytes + bytes <= m_settings.small_bytes || missing <= m_settings.small_bytes;
    const auto needed = m_bytes + bytes + (small ? 0 : kept_for_small_messages(m_settings.max_bytes));
    if (needed <= m_settings.max_bytes) {
        m_bytes += bytes;
        grown.bytes += bytes;
        grown.progressed_at = now;
        return memory_grant::granted;
    }
    return cut_stalled(grown, needed - m_settings.max_bytes, now, cuts) ? memory_grant::awaited
                                                                        : memory_grant::refused;
}

/// Cuts off stalled senders until this many bytes become free, those stalled for longest first. True when
/// some are being cut off.
bool body_memory::cut_stalled(const account_state& grown, std::size_t bytes, time_point now,
                              cut_actions& cuts)
{
    std::size_t freed = 0;
    std::vector<account_state*> stalled;
    for (auto& one : m_accounts) {
        if (&one == &grown || one.complete || one.bytes == 0) {
            continue;
        }
        if (one.cut_off) {
            freed += one.bytes;
        }
        else if (now - one.progressed_at >= m_settings.stall_time) {
            stalled.push_back(&one);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [](const account_state* one, const account_state* other) {
        return one->progressed_at < other->progressed_at;
    });
    for (auto* one : stalled) {
        if (freed >= bytes) {
            break;
        }
        one->cut_off = true;
        cuts.push_back(std::move(one->cut));
        freed += one->bytes;
    }
    return freed > 0;
}

} // namespace cardamomstream
