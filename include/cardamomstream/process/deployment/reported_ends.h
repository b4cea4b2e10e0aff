/// Tells the first report of an upstream's end from those that repeat it.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cardamomstream {

/// Each VM that notices an end reports it several times. A sign that comes `min_gap` after the last one that
/// was new may be of a further end: the process that started since may not be listed yet. Not thread-safe.
class reported_ends {
public:
    static constexpr std::chrono::milliseconds min_gap{500};

    /// Records the ends of one report. Returns true if one of them is new.
    bool record(const std::vector<upstream_end>& ends, time_point now);

private:
    void forget(time_point now);

    /// When the last new sign came, by upstream and start of the process that was listed then.
    std::map<std::pair<upstream_name, std::int64_t>, time_point> m_signs;
};

} // namespace cardamomstream
