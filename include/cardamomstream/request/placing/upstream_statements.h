/// What upstreams state about themselves in their answers.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

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

    /// Requests per second that the upstream accepts from all VMs together; empty: no limit is known.
    std::optional<double> limit(const upstream_name& upstream) const;

    /// Ends the statements of an earlier process of the upstream.
    void on_listed(const upstream_name& upstream, std::int64_t started_unix_ms);

private:
    struct entry {
        std::int64_t started_unix_ms = 0;
        std::optional<double> requests_per_second;
        time_point limit_stated_at; ///< an answer to a request sent later may end the limit
    };

    std::unordered_map<upstream_name, entry> m_entries;
};

} // namespace cardamomstream
