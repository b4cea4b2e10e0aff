/// Delay of first bytes beyond what the known loads explain.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <chrono>
#include <compare>
#include <map>
#include <vector>

namespace cardamomstream {

/// Requests that share one lateness average.
struct lateness_key {
    pool_name service;
    region_name region;
    int urgency = 0; ///< engines start the most urgent requests first, so the others wait longer
    // clang-tidy 14 mistakes the "< 0" that the compiler adds to a defaulted comparison for a null pointer.
    friend auto operator<=>(const lateness_key&,
                            const lateness_key&) = default; // NOLINT(modernize-use-nullptr)
};

/// Accounts for load that no report includes: load of VMs from which no reports come, and load sent since the
/// last reports. The moving averages decay with time; otherwise a pool whose requests are all refused would
/// give no new samples and never be used again. Not thread safe.
class lateness_table {
public:
    /// Adds a first byte that this VM received, `late` after the time predicted from the known loads.
    void sample(const lateness_key& key, std::chrono::nanoseconds late, time_point now);

    /// Adds samples that another VM reported; `region` is the region of that VM.
    void add_reported(const region_name& region, const std::vector<lateness_sample>& samples, time_point now);

    /// Expected lateness; never negative.
    std::chrono::milliseconds expected(const lateness_key& key, time_point now) const;

    /// This VM's own samples since the last call.
    std::vector<lateness_sample> take_unreported();

    /// Discards everything.
    void clear()
    {
        m_averages.clear();
        m_unreported.clear();
    }

private:
    struct average {
        double ms = 0;
        time_point at;
    };

    struct unreported_sum {
        double ms = 0;
        std::uint32_t samples = 0;
    };

    void add(const lateness_key& key, double mean_ms, std::uint32_t samples, time_point now);

    std::map<lateness_key, average> m_averages;
    std::map<lateness_key, unreported_sum> m_unreported;
};

} // namespace cardamomstream
