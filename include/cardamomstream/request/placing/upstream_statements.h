/// What upstreams state about themselves in their answers.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// Request limit in the head of one answer.
struct limit_statement {
    bool valid = true;                         ///< false when the answer has a limit that can't be read
    std::optional<double> requests_per_second; ///< from all VMs together; empty without a limit
};

/// Statements outlive the upstream's absence from the list of usable upstreams, for example while its data
/// centre is evacuated. A restart of the upstream ends them. Not thread safe.
class upstream_statements {
public:
    /// Records the limit stated by an answer. An answer without one ends the limit, provided that its request
    /// was sent after the limit became known; an unreadable limit changes nothing. Returns true when the
    /// limit changed.
    bool record_limit(const upstream_name& upstream, std::int64_t started_unix_ms,
                      const limit_statement& statement, time_point sent_at, time_point now);

    /// Applies limits that were stated to another VM. The newest answer counts, whichever VM received it.
    void apply_reported(const std::vector<stated_limit>& limits, time_point received_at);

    /// Limits that were stated to this VM itself, for its report. Those learnt from reports are left out, so
    /// that an old limit is not passed on for ever.
    std::vector<stated_limit> own_limits(time_point now);

    /// Requests per second that the upstream accepts from all VMs together; empty: no limit is known.
    std::optional<double> limit(const upstream_name& upstream) const;

    /// Counts a request that is sent to an upstream with a limit, or after a pause.
    void count_send(const upstream_name& upstream, time_point now);

    /// Time until this VM may send to the upstream when its share of the limit is `requests_per_second`;
    /// zero: it may send now. Over time exactly the share is sent, and at once no more than that of one
    /// second.
    std::chrono::milliseconds time_until_send(const upstream_name& upstream, double requests_per_second,
                                              time_point now) const;

    /// Records that an answer to a request sent at `sent_at` asks this VM for a pause, or for none. Pauses
    /// don't shorten each other. After one, a single request at a time is allowed until an answer asks for
    /// none.
    void record_pause(const upstream_name& upstream, std::int64_t started_unix_ms,
                      std::optional<std::chrono::milliseconds> pause, time_point sent_at, time_point now);

    /// Time until the pause that the upstream has asked for allows a request of this VM; zero without one.
    std::chrono::milliseconds pause_left(const upstream_name& upstream, time_point now) const;

    /// Records that the upstream is leaving, which holds until it restarts. Returns true when this is new.
    bool record_leaving(const upstream_name& upstream, std::int64_t started_unix_ms, time_point now);
    bool is_leaving(const upstream_name& upstream) const;

    /// Call before `on_listed` for each upstream of a new list.
    void begin_listing();
    /// Ends the statements of an earlier process of the upstream.
    void on_listed(const upstream_name& upstream, std::int64_t started_unix_ms);

private:
    struct observed_limit {
        std::optional<double> requests_per_second;
        time_point at; ///< epoch: never
    };

    struct entry {
        std::int64_t started_unix_ms = 0;
        bool listed = true;
        bool leaving = false;
        time_point leaving_stated_at;
        observed_limit own;    ///< as stated to this VM
        observed_limit newest; ///< as stated to any VM
        std::deque<time_point> sends;
        time_point paused_until; ///< epoch: no pause, or an answer has confirmed its end
        time_point pause_stated_at;
    };

    void expire(time_point now);

    std::unordered_map<upstream_name, entry> m_entries;
};

} // namespace cardamomstream
