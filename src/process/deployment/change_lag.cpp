#include "cardamomstream/process/deployment/change_lag.h"

#include <algorithm>

namespace cardamomstream {

namespace {

/// A watch brings a change to all VMs within this time while the store is sound: two ways between regions,
/// the pause between two watches, and a report.
constexpr std::chrono::milliseconds usual_lag{700};

/// A slow store is not asked again before it could answer.
constexpr std::chrono::milliseconds least_time_between_questions{2'500};

} // namespace

void change_lag::record_known(std::uint64_t change)
{
    m_known = std::max(m_known, change);
}

bool change_lag::accept_changes(store_changes& changes)
{
    if (m_known < changes.after) {
        return false;
    }
    std::erase_if(changes.items, [&](const store_item& item) { return item.revision <= m_known; });
    for (const auto& item : changes.items) {
        record_known(item.revision);
    }
    return true;
}

bool change_lag::record_peer_revision(std::uint64_t change, time_point now)
{
    if (change <= m_known) {
        return false;
    }
    if (m_heard <= m_known) {
        m_behind_since = now;
    }
    m_heard = std::max(m_heard, change);
    const bool asked_lately = m_asked_at != time_point{} && now - m_asked_at < least_time_between_questions;
    if (now - m_behind_since < usual_lag || asked_lately) {
        return false;
    }
    m_asked_at = now;
    return true;
}

} // namespace cardamomstream
