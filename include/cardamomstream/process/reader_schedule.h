/// Selects the VMs that read the configuration service and schedules their reads, far below the service's
/// limit.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace cardamomstream {

struct reader_settings {
    std::size_t readers_per_data_centre = 2;
    std::size_t max_readers = 64;                 ///< in the whole fleet
    std::uint32_t reads_per_hour = 1'800;         ///< by one VM, including watches
    std::uint32_t read_burst = 10;                ///< reads that may follow each other without a pause
    std::chrono::milliseconds watch_time{30'000}; ///< for which the service may hold a watch open
    /// Time without a confirmation by peers before a direct read.
    std::chrono::milliseconds fallback_delay{5'000};
    std::chrono::milliseconds fallback_jitter{5'000};   ///< spreads direct reads of different VMs
    std::chrono::milliseconds initial_retry_delay{500}; ///< after a failed read; doubles each time
    std::chrono::milliseconds max_retry_delay{15'000};
};

/// A VM that may become a reader.
struct reader_candidate {
    vm_name vm;
    data_centre_name data_centre;
};

/// Selects the readers of the fleet from the VMs known to be live: the highest-ranked ones of each data
/// centre. If `max_readers` is exceeded, higher ranks come first. VMs with different views of the fleet may
/// select a few different readers, which costs only a few extra reads.
std::vector<vm_name> choose_readers(const std::vector<reader_candidate>& live,
                                    const reader_settings& settings);

enum class read_action {
    wait,  ///< no read before `read_decision::at`
    read,  ///< one read that returns at once
    watch, ///< one read that waits for a newer version
};

struct read_decision {
    read_action action = read_action::wait;
    time_point at; ///< for `wait`: when to call `next` again
};

/// Limits the rate of one VM's reads. Each `read` or `watch` that `next` returns counts as one read.
class reader_schedule {
public:
    reader_schedule(reader_settings settings, time_point now);

    /// Returns the action to take now; `wait` while a read is in progress.
    read_decision next(bool is_reader, time_point now, std::mt19937_64& random);

    /// A read has completed, with a newer version or none.
    void read_succeeded(time_point now);
    void read_failed(time_point now, std::mt19937_64& random);
    /// A peer reports that the version held here was the newest at `confirmed`.
    void confirmed_by_peer(time_point confirmed);
    /// The process was suspended: read as soon as the budget allows.
    void woke_after_pause();

    std::uint64_t reads() const noexcept;

private:
    void refill(time_point now);
    read_decision spend_budget(read_action action, time_point now);

    reader_settings m_settings;
    double m_budget;
    time_point m_refilled_at;
    bool m_read_in_progress = false;
    bool m_read_now = true;
    std::optional<time_point> m_not_before;
    time_point m_confirmed_at;
    std::optional<std::chrono::milliseconds> m_fallback_jitter;
    std::uint32_t m_failures = 0;
    std::uint64_t m_reads = 0;
};

} // namespace cardamomstream
