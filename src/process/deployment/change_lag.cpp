#include "cardamomstream/process/deployment/change_lag.h"

#include <algorithm>

namespace cardamomstream {

namespace {

/// While the store works, a watch brings a change to all VMs within this time: two trips between regions,
/// the pause between two watches, and one report.
constexpr std::chrono::milliseconds max_normal_lag{700};

/// Gives a slow store time to respond before the watch is restarted again.
constexpr std::chrono::milliseconds min_restart_interval{2'500};

/// More changes than come within the time for which it matters how long one has been missed.
constexpr std::size_t max_missed = 256;

} // namespace

void change_lag::record_known(store_position position)
{
    m_known = std::max(m_known, position);
    while (!m_missed.empty() && m_missed.front().change <= m_known) {
        m_missed.pop_front();
    }
}

bool change_lag::accept_changes(store_changes& changes)
{
    if (changes.after.era != m_known.era || m_known < changes.after) {
        return false;
    }
    changes.after = std::max(changes.after, m_known); // what is removed lies before it
    std::erase_if(changes.items, [&](const store_item& item) { return item.revision <= m_known.revision; });
    record_known(changes.up_to);
    return true;
}

bool change_lag::record_peer_change(store_position change, time_point now)
{
    if (change <= m_known) {
        return false;
    }
    if (m_peer_change <= m_known) {
        m_behind_since = now;
    }
    if (m_missed.empty() || m_missed.back().change < change) {
        if (m_missed.size() == max_missed) {
            m_missed.pop_back();
        }
        m_missed.push_back({change, now});
    }
    m_peer_change = std::max(m_peer_change, change);
    const bool restarted_recently =
        m_restarted_at != time_point{} && now - m_restarted_at < min_restart_interval;
    if (now - m_behind_since < max_normal_lag || restarted_recently) {
        return false;
    }
    m_restarted_at = now;
    return true;
}

} // namespace cardamomstream
