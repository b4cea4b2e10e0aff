/// Failure detection for one upstream or VM, from the outcomes of requests.
#pragma once

#include "cardamomstream/request/routing_types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

namespace cardamomstream {

/// Suspects its subject after a failure, for an exponential backoff with jitter. Once the backoff has passed,
/// a single request probes the subject.
class suspicion {
public:
    void failed(const router_settings& settings, time_point now, std::mt19937_64& random);
    void clear() noexcept { *this = {}; }

    bool active() const noexcept { return m_failures > 0; }
    /// True if the backoff has passed and no probe is running. A probe without an outcome counts as running
    /// for `suspicion_max` at most.
    bool probe_due(const router_settings& settings, time_point now) const;
    void probe_started(time_point now) { m_probe_started = now; }
    void probe_abandoned() { m_probe_started.reset(); }

    std::uint32_t failures() const noexcept { return m_failures; }
    time_point last_failure() const noexcept { return m_last_failure; }
    time_point probe_at() const noexcept { return m_probe_at; }

private:
    std::uint32_t m_failures = 0;
    time_point m_last_failure;
    time_point m_probe_at;
    std::optional<time_point> m_probe_started;
};

} // namespace cardamomstream
