/// Decides whether this VM has lost its links to the upstreams of its region.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <cstddef>
#include <unordered_map>

namespace cardamomstream {

/// Failures at several upstreams are a reason to try new connections to some others. If none of these can be
/// made, the links of this VM are lost; they are back once one can. Not thread safe.
class link_monitor {
public:
    /// Records that no connection to the upstream could be made, that one broke or that it is silent.
    void record_failure(const upstream_name& upstream, time_point now);

    /// Records that the upstream has answered on a new connection.
    void record_contact(const upstream_name& upstream) { m_failures.erase(upstream); }

    /// True when connections should be tried now.
    bool round_due(time_point now) const;

    /// True when the upstream has failed lately.
    bool has_failed(const upstream_name& upstream, time_point now) const;

    /// Records that connections are being tried.
    void begin_round(time_point now)
    {
        m_round_at = now;
        m_trying = true;
    }

    /// Records the number of upstreams that were tried and reached. Returns true when `lost` has changed.
    bool end_round(std::size_t tried, std::size_t reached, time_point now);

    bool lost() const noexcept { return m_lost; }

    /// True while it isn't known whether the failures are the upstreams'.
    bool undecided() const noexcept { return m_trying && !m_lost; }

private:
    std::unordered_map<upstream_name, time_point> m_failures;
    time_point m_round_at;
    time_point m_back_at;
    std::chrono::milliseconds m_interval{0}; ///< between rounds, beyond the least one
    std::size_t m_good_rounds = 0;           ///< in a row, while the links are lost
    std::size_t m_needed_rounds = 1;
    bool m_trying = false;
    bool m_lost = false;
};

} // namespace cardamomstream
