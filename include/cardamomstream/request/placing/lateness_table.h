/// How much later first bytes come than the known loads explain.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <chrono>
#include <compare>
#include <map>
#include <vector>

namespace cardamomstream {

/// Requests whose first bytes are late together.
struct lateness_key {
    pool_name service;
    region_name region;
    int urgency = 0; ///< engines begin with the most urgent requests, so the others wait longer
    // clang-tidy 14 takes the "< 0" that the compiler adds to a defaulted comparison for a null pointer.
    friend auto operator<=>(const lateness_key&,
                            const lateness_key&) = default; // NOLINT(modernize-use-nullptr)
};

/// Answers for load that is in no report: that of VMs which are not heard, and that of the last moment. Kept
/// as moving averages that fade, so that requests are served again after refusals have kept all away. Not
/// thread safe.
class lateness_table {
public:
    /// A first byte that came here, `late` after the time that the known loads explain.
    void sample(const lateness_key& key, std::chrono::nanoseconds late, time_point now);

    /// First bytes that came at another VM of the region.
    void learn(const region_name& region, const std::vector<lateness_sample>& samples, time_point now);

    /// Expected lateness; never negative.
    std::chrono::milliseconds expected(const lateness_key& key, time_point now) const;

    /// Samples taken here since the last call.
    std::vector<lateness_sample> take();

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
