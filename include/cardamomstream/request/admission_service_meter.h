/// Observed service of a queue.
#pragma once

#include "cardamomstream/core/boot_clock.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace cardamomstream {

/// Tokens served per second of busy time, averaged over the recent past. Busy means that something waits.
class service_meter {
public:
    explicit service_meter(std::chrono::milliseconds memory = std::chrono::milliseconds{5'000});

    /// Counts the time since the last call, as busy or not.
    void advance(bool busy, time_point now);
    void served(double tokens)
    {
        m_tokens += tokens;
        m_requests += 1;
    }
    void returned(double tokens);

    /// Tokens a second; nothing before `least` of busy time and some requests were seen: the first ones end
    /// after a whole run time without any, and would make the rate look far too low.
    std::optional<double> rate(std::chrono::milliseconds least, bool busy, time_point now) const;

private:
    std::chrono::duration<double> m_memory;
    double m_tokens = 0;
    std::size_t m_requests = 0; ///< since the queue was last empty
    std::chrono::duration<double> m_busy{0};
    std::optional<time_point> m_at;
};

} // namespace cardamomstream
