/// Keeps prompt parts and requests that end upstream processes away from the upstreams of the fleet.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/process/deployment/vm_table.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomstream {

/// Ids of the parts of a prompt that other requests may share: all but the last.
using shared_part_ids = std::vector<std::uint64_t>;

enum class quarantine_verdict {
    allowed,
    trial,   ///< may be sent as the fleet's only request with a suspected part; see `trial`
    refused, ///< may not be sent before `retry_after`
};

/// Whether a request may be sent to an upstream now.
struct quarantine_decision {
    quarantine_verdict verdict = quarantine_verdict::allowed;
    std::chrono::milliseconds retry_after{0};
};

/// A part that is now kept away from upstreams, or is no longer.
struct quarantine_change {
    crash_subject subject = crash_subject::prompt_part;
    std::uint64_t part = 0;
    bool quarantined = false;
    std::size_t crashes = 0;
};

/// What this VM tells the others about prompt parts.
struct quarantine_report {
    std::vector<part_crash> crashes;
    std::vector<part_success> successes;
    std::vector<part_trial> trials;
};

struct quarantine_settings {
    crash_subject subject = crash_subject::prompt_part;
    std::chrono::milliseconds first_quarantine{5'000};
    int growth = 4; ///< of the quarantine's time, with each further end
    std::chrono::milliseconds max_quarantine{3'600'000};
    std::chrono::milliseconds crash_ttl{7'200'000}; ///< of a part with several ends
    std::size_t max_reported_crashes = 96;          ///< in one report
};

/// For whole requests: a wrong suspicion harms a single request, so that trials may be rare.
quarantine_settings whole_request_quarantine();

/// A part is suspected when upstream processes ended while they began to answer requests with it, and cleared
/// by any answer that goes on. Ends count once for each upstream process, and only if the request was sent
/// after the end that was counted before: those that one outage causes at the same time count once. The VMs
/// share what they know in their reports. After two ends, one request with the part runs at a time in the
/// whole fleet; after three, none for a time that grows with each further end.
///
/// The same holds for a whole request, for which "part" stands then: its id is a digest of path, caller and
/// body. Not thread safe.
class prompt_quarantine {
public:
    /// Ends after which a single request with the part may run.
    static constexpr std::size_t crashes_until_trial = 2;
    /// Ends after which a part is refused for some time.
    static constexpr std::size_t crashes_until_quarantine = 3;
    /// So many ends don't count if only connections are known to have ended: they may have been reset.
    static constexpr std::size_t uncertain_ends_ignored = 2;
    static constexpr std::size_t max_suspects = 4'096;
    /// Between the announcement of a trial and its request; longer than reports take to reach all VMs.
    static constexpr std::chrono::milliseconds trial_notice{700};

    /// `self`: the inner address by which the other VMs know this one.
    explicit prompt_quarantine(const endpoint& self, quarantine_settings settings = {});

    /// `passed_on`: the request comes from a VM that has made this decision for itself.
    quarantine_decision check(const shared_part_ids& parts, bool passed_on, time_point now) const;

    /// Announces a trial to the other VMs; it lasts until it is destroyed.
    class trial {
    public:
        trial(prompt_quarantine& owner, const shared_part_ids& parts, time_point now);
        ~trial();
        trial(const trial&) = delete;
        trial& operator=(const trial&) = delete;
        trial(trial&&) = delete;
        trial& operator=(trial&&) = delete;

        /// Call when `trial_notice` is over. False when another VM's trial goes first, or when an upstream
        /// has ended meanwhile.
        bool may_begin(time_point now) const;

    private:
        prompt_quarantine& m_owner;
        std::vector<std::uint64_t> m_parts;
        time_point m_announced_at;
    };

    /// Records that an upstream process ended under a request. `broken_send`: see `part_crash`.
    std::vector<quarantine_change> record_crash(const shared_part_ids& parts, const upstream_name& upstream,
                                                std::int64_t started_unix_ms, time_point sent_at,
                                                time_point now, std::uint64_t broken_send = 0);

    /// Records that an upstream answered a request with these parts, or has sent an answer for some time.
    std::vector<quarantine_change> record_success(const shared_part_ids& parts, time_point now);

    /// Applies what another VM or data centre reports.
    std::vector<quarantine_change> apply_reported(const vm_report& report, time_point received_at);

    /// What this VM tells the others; bounded.
    quarantine_report take_report(time_point now);

    /// True once when a crash or success should be reported before the next report is due.
    bool take_early_report_due() { return std::exchange(m_early_report_due, false); }

    /// Number of parts that are refused.
    std::size_t quarantined() const;

private:
    struct crash {
        upstream_name upstream;
        std::int64_t started_unix_ms = 0;
        time_point sent_at;
        time_point ended_at;
        std::uint64_t observer = 0;    ///< the VM that saw it
        std::uint64_t broken_send = 0; ///< see `part_crash`
    };

    struct suspect {
        std::vector<crash> crashes;  ///< in the order of `ended_at`
        std::size_t independent = 0; ///< ends that count
        time_point changed_at;
    };

    struct known_trial {
        std::uint64_t vm = 0;
        time_point announced_at;
        time_point reported_at;
    };

    using suspects = std::unordered_map<std::uint64_t, suspect>;

    /// Positions of the ends that count: each request was sent after the end before.
    static std::vector<std::size_t> independent_of(const std::vector<crash>& crashes);
    static std::size_t count_independent(const std::vector<crash>& crashes);
    static void limit_crashes(std::vector<crash>& crashes);
    void add_crash(std::uint64_t part, crash added, time_point now, std::vector<quarantine_change>& changes);
    void clear(suspects::iterator known, time_point now, std::vector<quarantine_change>& changes);
    void apply_trial(const part_trial& reported, time_point received_at);
    bool is_voided(std::uint64_t part, const crash& seen) const;
    void limit_suspects(time_point now);
    void expire(time_point now);
    std::chrono::milliseconds quarantine_time(std::size_t crashes) const;
    time_point next_trial_at(const suspect& known) const;
    bool goes_first(std::uint64_t part, const known_trial& other, time_point announced_at) const;

    std::uint64_t m_self;
    quarantine_settings m_settings;
    suspects m_suspects;
    std::unordered_map<std::uint64_t, time_point> m_own_trials;                 ///< when announced, by part
    std::unordered_map<std::uint64_t, std::vector<known_trial>> m_other_trials; ///< by part
    std::unordered_map<std::uint64_t, time_point> m_successes;                  ///< the last of each part
    std::unordered_map<std::uint64_t, time_point> m_reported_until; ///< of successes that others need
    std::uint64_t m_reports = 0;
    bool m_early_report_due = false;
};

} // namespace cardamomstream
