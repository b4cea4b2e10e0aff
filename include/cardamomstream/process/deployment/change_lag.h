/// Detects that this VM's store watch has missed a change that other VMs know of.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/store_types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace cardamomstream {

/// Compares the position up to which this VM knows the store with the changes that other VMs report. A watch
/// whose connection went silent, or whose response was lost, could wait for a long time; a newer change at
/// another VM reveals it. Not thread-safe.
class change_lag {
public:
    /// Records that this VM knows of all changes up to this position. One of an older era changes nothing.
    void record_known(store_position position);

    /// Records changes that another VM has read and removes from `changes` those already known, so that they
    /// begin after them. Returns false, and changes nothing, when this VM misses changes before these.
    bool accept_changes(store_changes& changes);

    /// Records that another VM knows of this change. Returns true when this VM's watch should be restarted.
    bool record_peer_change(store_position change, time_point now);

    /// Since when another VM has known of a change that this one misses; empty: of none.
    std::optional<time_point> behind_since() const
    {
        return m_missed.empty() ? std::nullopt : std::optional(m_missed.front().first_told_at);
    }

    /// All changes up to here are known to this VM.
    store_position known() const noexcept { return m_known; }

private:
    struct missed_change {
        store_position change;
        time_point first_told_at;
    };

    store_position m_known;
    std::deque<missed_change> m_missed; ///< told by other VMs and not known here, oldest first
    store_position m_peer_change;
    time_point m_behind_since; ///< valid while `m_peer_change` is newer than `m_known`
    time_point m_restarted_at; ///< epoch: never
};

} // namespace cardamomstream
