/// Signs that an upstream's process has ended.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// A process that starts under the id of an earlier one is cold, and may get requests before its entry says
/// so. From a sign that the earlier process has ended, the upstream counts as restarted until the new one is
/// listed, or has answered for as long as it can be cold. Not thread safe.
class upstream_ends {
public:
    /// Records that this VM has noticed at `at` that the listed process, which started at `started_unix_ms`,
    /// has ended. `since`: it may have ended so long before. Returns true when the sign is new to the other
    /// VMs.
    bool record_end(const upstream_name& upstream, std::int64_t started_unix_ms, time_point at,
                    std::chrono::nanoseconds since);

    /// Records the same as another VM has noticed it, or one that lists a later process.
    void record_reported(const upstream_name& upstream, std::int64_t started_unix_ms, time_point at);

    /// An answer, or a part of one.
    struct received_bytes {
        time_point connected_at; ///< when its connection was made
        time_point sent_at;      ///< when its request was sent
        time_point now;
    };

    /// Records bytes from the upstream. On a connection that is older than the sign, those that were sent
    /// after it show that the process has not ended.
    void record_answer(const upstream_name& upstream, const received_bytes& received);

    /// True while the running process may have started after the one that is listed. `cold_time`: for which a
    /// process can be cold.
    bool may_have_restarted(const upstream_name& upstream, std::chrono::milliseconds cold_time,
                            time_point now) const;

    /// When the last bytes came on a connection that was made before `at`, as far as known.
    std::optional<time_point> last_answer_on_older(const upstream_name& upstream, time_point at) const;

    /// True when a request that was sent at `sent_at`, as the process of `sent_to` was listed, went to the
    /// one of `listed`.
    bool was_sent_to_successor(const upstream_name& upstream, time_point sent_at, std::int64_t sent_to,
                               std::int64_t listed) const;

    /// Signs that this VM has seen itself, for its report.
    std::vector<upstream_end> own_ends(time_point now);

    /// Discards what this VM has noticed itself since then, and keeps what other VMs have seen.
    void discard_own(time_point since);

    /// Ends the signs of an earlier process.
    void on_listed(const upstream_name& upstream, std::int64_t started_unix_ms);

private:
    /// The oldest connection on which bytes have come lately.
    struct working_connection {
        time_point connected_at;
        time_point last_byte_at; ///< epoch: none
    };

    struct sign {
        std::int64_t started_unix_ms = 0;
        time_point ran_at;                      ///< the process may have ended after that
        time_point first_at;                    ///< when its end was first noticed
        time_point ended_at;                    ///< newest sign
        std::optional<time_point> own_ended_at; ///< as this VM has seen it
        std::optional<time_point> answered_at;  ///< first answer of what runs since
        bool reported = false;                  ///< another VM has seen it
    };

    /// A process that took the place of one whose end was noticed.
    struct succession {
        std::int64_t predecessor = 0;
        std::int64_t successor = 0;
        time_point ended_at;
    };

    struct knowledge {
        working_connection oldest;
        std::optional<sign> end;
        time_point disproved_at; ///< until then the process has not ended
        std::optional<succession> last;
    };

    sign* add_sign(const upstream_name& upstream, std::int64_t started_unix_ms, time_point at,
                   time_point ran_at);

    std::unordered_map<upstream_name, knowledge> m_upstreams;
};

} // namespace cardamomstream
