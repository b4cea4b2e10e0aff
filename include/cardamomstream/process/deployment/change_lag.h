/// Tells when a VM's own watch of the store has missed a change of which the other VMs know.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/store_types.h"

#include <chrono>
#include <cstdint>

namespace cardamomstream {

/// Answers for a watch whose connection went silent, or whose answer was lost: it could wait for long, while
/// the other VMs report a newer change. Not thread safe.
class change_lag {
public:
    /// This VM knows of the change with this revision and all before it.
    void record_known(std::uint64_t change);

    /// Takes what another VM has read. False when changes before these are missing here; `changes` then says
    /// nothing. Else those that are known already are left out of it.
    bool accept_changes(store_changes& changes);

    /// Another VM knows of `change`. True when the own watch should be ended and the store asked anew.
    bool record_peer_revision(std::uint64_t change, time_point now);

    /// Revision of the newest change that this VM knows of, for its reports.
    std::uint64_t known() const noexcept { return m_known; }

private:
    std::uint64_t m_known = 0;
    std::uint64_t m_heard = 0;
    time_point m_behind_since; ///< while `m_heard` is newer than `m_known`
    time_point m_asked_at;     ///< epoch: never
};

} // namespace cardamomstream
