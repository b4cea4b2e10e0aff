/// Observed service rate of a queue.
#pragma once

#include "cardamomstream/core/boot_clock.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace cardamomstream {

/// Tokens served per second of busy time, as an exponentially decaying average. The queue is busy while a
/// request waits.
class service_meter {
public:
    explicit service_meter(std::chrono::milliseconds time_constant = std::chrono::milliseconds{5'000});

    /// Records the time since the last call as busy or idle.
    void advance(bool busy, time_point now);
    void served(double tokens)
    {
        m_tokens += tokens;
        m_requests += 1;
    }
    /// Takes back a request counted by `served`.
    void undo_served(double tokens);

    /// Tokens per second. Empty until `min_busy` of busy time and several requests were observed: the first
    /// request leaves the queue only after a whole run time, so that a rate taken from it would be far too
    /// low.
    std::optional<double> rate(std::chrono::milliseconds min_busy, bool busy, time_point now) const;

private:
    std::chrono::duration<double> m_time_constant;
    double m_tokens = 0;
    std::size_t m_requests = 0; ///< served since the queue was last empty
    std::chrono::duration<double> m_busy{0};
    std::optional<time_point> m_at;
};

} // namespace cardamomstream
