/// Limits of the callers' listener while plans change.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/version/service_plan/service_plan_types.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace cardamomstream {

/// Follows the limits that plans state. A limit that rises is in force at once. One that falls is in force
/// after `notice_time`, since callers act on the plan that they know.
class entry_limits {
public:
    static constexpr std::chrono::milliseconds notice_time{8'000};

    /// Larger ones that a plan states aren't obeyed. A head gets longer when it is passed on to another VM.
    static constexpr std::uint32_t max_hop_header_bytes = 8 * 1024;
    static constexpr std::uint32_t max_header_bytes = longest_header_bytes - max_hop_header_bytes;
    static constexpr std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;

    /// `unstated`: in force until a plan is known, and wherever a plan states no limit.
    explicit entry_limits(const http_limits& unstated);

    /// Applies the limits of a plan that has come into force.
    void apply(const caller_limits& stated, time_point now);

    /// The limits in force. Provisional until a plan has been applied.
    http_limits at(time_point now) const;

private:
    struct replaced_limits {
        http_limits limits;
        time_point until;
    };

    http_limits m_unstated;
    http_limits m_current;
    std::vector<replaced_limits> m_replaced; ///< still obeyed where they are larger
};

} // namespace cardamomstream
