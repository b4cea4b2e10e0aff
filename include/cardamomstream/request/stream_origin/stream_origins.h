/// Remembers which software version of its upstream began each stream that may be taken up again.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// Where a stream began.
struct stream_origin {
    pool_name service;
    std::string version; ///< of the upstream's software
    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// Events of two software versions don't fit together, so a stream goes on at the version that began it. Each
/// VM remembers its own streams. While more than one version of a service is known, it tells the others,
/// since a caller may come back to any VM and the first one may be gone. A stream of which nothing is known
/// may be of a version that served earlier, or that this VM doesn't know yet; it can be taken up only if a
/// single version has served for as long as streams live, and is the only one in a list that was read after
/// the caller came. Not thread safe.
class stream_origins {
public:
    /// After the start of a stream its caller may come back for this long at least.
    static constexpr std::chrono::milliseconds min_stream_life{20'000};
    static constexpr std::size_t max_new_per_report = 400; ///< eight bytes each

    /// `life`: the longest time that a caller waits for a stream, all tries included.
    void set_stream_life(std::chrono::milliseconds life);

    /// Sets all versions that are listed, those of upstreams included that get no new requests.
    void set_listed(const service_versions& listed, time_point now);

    /// `confirmed`: the list is known to be up to date. Call several times a second.
    void set_list_confirmed(bool confirmed, time_point now);

    /// The versions that are set contain those of a list whose reading began then.
    void set_list_read(time_point began);

    /// True when a list that is read from now on may show where the stream of a caller who came at `arrived`
    /// began.
    bool needs_list_read(const request_id& attempt, const pool_name& service, time_point arrived) const;

    /// Records that the first event of a stream came from this origin; empty if its version isn't certain.
    /// `reported`: this VM tells the others, as the one to which the caller sent the request.
    void record(const request_id& attempt, const std::optional<stream_origin>& origin, bool reported,
                time_point now);

    /// Origin of the stream that an attempt began, for a caller who came at `arrived`. Empty if it isn't
    /// certain.
    std::optional<stream_origin> find(const request_id& attempt, const pool_name& service,
                                      time_point arrived) const;

    /// Applies what another VM or data centre reports.
    void apply_reported(const std::vector<reported_origins>& reported, time_point now);

    /// What the others need to know, for this VM's report.
    std::vector<reported_origins> take_report(time_point now);

    std::size_t size() const noexcept { return m_streams.size(); }

private:
    using origin_index = std::uint32_t;

    struct stream {
        std::optional<origin_index> origin;
        time_point began_at;
    };

    struct own_stream {
        std::uint64_t key = 0;
        origin_index origin = 0;
        time_point began_at;
        std::optional<time_point> reported_from;
    };

    origin_index index_of(const stream_origin& origin);
    void add(std::uint64_t key, std::optional<origin_index> origin, time_point now);
    void expire(time_point now);
    bool known_long_enough(time_point now) const;
    /// The service's version if it is certain that no other one has served within the life of a stream.
    std::optional<std::string> only_version(const pool_name& service, time_point now) const;
    bool needs_report(time_point now) const;

    std::chrono::milliseconds m_life = min_stream_life;
    std::vector<stream_origin> m_origins;
    std::unordered_map<std::uint64_t, stream> m_streams;           ///< by a hash of the attempt's id
    std::deque<std::pair<time_point, std::uint64_t>> m_by_age;     ///< of `m_streams`, oldest first
    std::deque<own_stream> m_own;                                  ///< oldest first
    std::map<pool_name, std::map<std::string, time_point>> m_seen; ///< when each version was last known
    service_versions m_listed;
    std::optional<time_point> m_confirmed_since;
    time_point m_confirmed_until;
    time_point m_list_read_began;
};

} // namespace cardamomstream
