/// Which VMs read the configuration service, and when. Keeps reads far below the service's limit.
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
    std::size_t max_readers = 64;                 ///< over the fleet
    std::uint32_t reads_per_hour = 1'800;         ///< of one VM, watches included
    std::uint32_t reads_in_a_burst = 10;          ///< that may follow each other without a pause
    std::chrono::milliseconds watch_time{30'000}; ///< that the service may hold a watch open
    std::chrono::milliseconds fallback_after{
        5'000}; ///< without a confirmation by peers, before a direct read
    std::chrono::milliseconds fallback_jitter{5'000}; ///< spreads direct reads
    std::chrono::milliseconds retry_first{500};       ///< after a failed read; doubles
    std::chrono::milliseconds retry_longest{15'000};
};

/// A VM that may read.
struct reader_candidate {
    vm_name vm;
    data_centre_name data_centre;
};

/// The readers of the fleet, from the VMs believed live: the best ranks of each data centre, best ranks first
/// over the fleet where `max_readers` cuts. Two VMs with different views may differ in a few readers; that
/// costs a few reads.
std::vector<vm_name> choose_readers(const std::vector<reader_candidate>& live,
                                    const reader_settings& settings);

enum class read_action {
    wait,  ///< nothing before `read_decision::at`
    read,  ///< one read that answers at once
    watch, ///< one read that waits for a newer version
};

struct read_decision {
    read_action action = read_action::wait;
    time_point at; ///< for `wait`: when to ask again
};

/// Paces the reads of one VM. Each `read` and `watch` that is given out counts as one.
class reader_schedule {
public:
    reader_schedule(reader_settings settings, time_point now);

    /// What to do now. Gives `wait` while a read is under way.
    read_decision next(bool is_reader, time_point now, std::mt19937_64& random);

    /// A read has answered (with a newer version or none).
    void read_succeeded(time_point now);
    void read_failed(time_point now, std::mt19937_64& random);
    /// A peer has said that the version held here was the newest at `confirmed`.
    void confirmed_by_peer(time_point confirmed);
    /// The process slept: read as soon as the budget allows.
    void woke_after_pause();

    std::uint64_t reads() const noexcept;

private:
    void refill(time_point now);
    read_decision spend(read_action action, time_point now);

    reader_settings m_settings;
    double m_budget;
    time_point m_refilled;
    bool m_under_way = false;
    bool m_confirm_now = true;
    std::optional<time_point> m_not_before;
    time_point m_confirmed;
    std::optional<std::chrono::milliseconds> m_jitter;
    std::uint32_t m_failures = 0;
    std::uint64_t m_reads = 0;
};

} // namespace cardamomstream
