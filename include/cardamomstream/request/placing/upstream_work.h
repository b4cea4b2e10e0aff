/// How long work takes at upstreams that share their machines with others.
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

/// Load in the head of one answer.
struct load_statement {
    bool valid = true;                         ///< false when the answer has a load that can't be read
    std::optional<std::uint32_t> work_percent; ///< of the usual time; empty: not stated
};

/// What the load that an answer states tells for the first time.
enum class load_news {
    none,
    unreadable,     ///< it can't be read; told once for each upstream
    shares_machine, ///< the upstreams of the service share their machines; told once for each service
};

/// An upstream states now and then that work takes longer for a moment. Any VM's newest statement counts, for
/// a short time. One that claims to be faster than usual gains nothing by it. Not thread safe.
class upstream_work {
public:
    /// For which a statement holds. The figure changes several times a second.
    static constexpr std::chrono::milliseconds statement_ttl{600};

    /// Records what an answer states that this VM got.
    void record(const upstream_name& upstream, std::int64_t started_unix_ms, std::uint32_t percent,
                time_point now);

    /// Applies what was stated to another VM.
    void apply_reported(const std::vector<stated_work>& works, time_point received_at);

    /// What was lately stated to this VM, for its report: that work takes longer, or no longer does.
    std::vector<stated_work> own(time_point now) const;

    /// Factor by which work takes longer than usual, as far as known; at least 1.
    double factor(const upstream_name& upstream, time_point now) const;

    /// Discards what is known of upstreams that have stated nothing for long.
    void expire(time_point now);

private:
    struct observation {
        std::int64_t started_unix_ms = 0;
        std::uint32_t percent = 0;
        time_point at; ///< epoch: never
    };

    struct entry {
        observation own;
        observation newest;   ///< of any VM
        time_point slowed_at; ///< when any VM was last told that work takes longer
    };

    static void note(entry& known, const observation& made);

    std::unordered_map<upstream_name, entry> m_entries;
};

} // namespace cardamomstream
