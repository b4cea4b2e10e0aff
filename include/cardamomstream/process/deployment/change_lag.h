/// Detects that this VM's store watch has missed a change that other VMs know of.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/store_types.h"

#include <chrono>
#include <cstdint>

namespace cardamomstream {

/// Compares the newest store revision known to this VM with those that other VMs report. A watch whose
/// connection went silent, or whose response was lost, could wait for a long time; a newer revision at
/// another VM reveals it. Not thread-safe.
class change_lag {
public:
    /// Records that this VM knows of the change with this revision and all earlier ones.
    void record_known(std::uint64_t revision);

    /// Records changes that another VM has read and removes from `changes` those already known. Returns
    /// false, and changes nothing, when this VM misses changes before these.
    bool accept_changes(store_changes& changes);

    /// Records that another VM knows of `revision`. Returns true when this VM's watch should be restarted.
    bool record_peer_revision(std::uint64_t revision, time_point now);

    /// Revision of the newest change that this VM knows of, for its reports.
    std::uint64_t known() const noexcept { return m_known; }

private:
    std::uint64_t m_known = 0;
    std::uint64_t m_peer_revision = 0;
    time_point m_behind_since; ///< valid while `m_peer_revision` is newer than `m_known`
    time_point m_restarted_at; ///< epoch: never
};

} // namespace cardamomstream
