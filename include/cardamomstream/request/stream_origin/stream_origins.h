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
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamomstream {

/// Where a stream began.
struct stream_origin {
    pool_name service;
    std::string version; ///< of the upstream's software
    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// Why the origin of a stream isn't known.
enum class origin_gap : std::uint8_t {
    none,
    version_uncertain,  ///< the upstream's version wasn't certain, or two VMs report different ones
    list_unconfirmed,   ///< the list may be outdated
    list_known_shortly, ///< an earlier version may have served before this VM knew the list
    several_versions,   ///< have served within the life of a stream, or the service isn't listed
    list_not_read,      ///< a newer version may have been listed when the caller came
};

std::string_view to_text(origin_gap gap);

/// Events of two software versions don't fit together, so a stream goes on at the version that began it. Each
/// VM remembers its own streams. While more than one version of a service is known, or when it stops, it
/// reports them to the others, since a caller may come back to any VM and the first one may be gone. A stream
/// of which nothing is known may be of a version that served earlier, or that this VM doesn't know yet; it
/// can be taken up only if a single version has served for as long as streams live, and is the only one in a
/// list that was read after the caller came. A VM that has started lately, or that has missed reports, asks
/// others for what they know of the time before: versions, and streams where there were several. So this
/// outlives restarts of all VMs in turn. Not thread safe.
class stream_origins {
public:
    /// After the start of a stream its caller may come back for this long at least.
    static constexpr std::chrono::milliseconds min_stream_life{20'000};
    static constexpr std::size_t max_new_per_report = 400;       ///< eight bytes each
    static constexpr std::size_t max_streams_per_answer = 4'000; ///< the same
    /// Each stream is in the reports of this time, since reports get lost, and the summaries to other regions
    /// are made of the last report of each VM.
    static constexpr std::chrono::milliseconds report_time{900};

    /// `life`: the longest time that a caller waits for a stream, all tries included.
    void set_stream_life(std::chrono::milliseconds life);

    /// Sets all versions that are listed, those of upstreams included that get no new requests.
    void set_listed(const service_versions& listed, time_point now);

    /// `confirmed`: the list is known to be up to date; `read_up_to`: position of the store up to which the
    /// versions that are set are known. Call several times a second.
    void set_list_confirmed(bool confirmed, time_point now, store_position read_up_to = {});

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

    /// Why `find` returns nothing; `none` if it does.
    origin_gap gap(const request_id& attempt, const pool_name& service, time_point arrived) const;

    /// Applies what another VM or data centre reports.
    void apply_reported(const std::vector<reported_origins>& reported, time_point now);

    /// What the others need to know, for this VM's report. `leaving`: this VM stops, and callers will take up
    /// its streams at other VMs.
    std::vector<reported_origins> take_report(time_point now, bool leaving = false);

    /// Reports of other VMs have been lost; where their streams began is asked for.
    void note_reports_missed(time_point now);

    /// What other VMs are to be asked; empty while enough is known, or the list isn't.
    std::optional<origin_query> query(time_point now) const;

    /// The answer to another VM's query.
    origin_knowledge knowledge(time_point now) const;

    /// Learns from an answer. False if versions may have been listed between the list that the answering VM
    /// knows and the one from which this VM knows it: then only versions and streams are learned.
    bool learn(const origin_knowledge& known, time_point now);

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
    void want_answers(time_point now);
    bool known_long_enough(time_point now) const;
    /// Calls `found(service, version, age)` for each version that was listed within the life of a stream.
    template <class Action>
    void for_each_recent_version(time_point now, Action found) const;
    std::set<pool_name> services_of_several_versions(time_point now) const;
    /// The youngest streams of these services, by origin and age.
    std::vector<reported_origins> streams_of(const std::set<pool_name>& services, time_point now) const;
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
    store_position m_read_up_to;
    store_position m_known_from; ///< valid while the list is confirmed
    int m_answers_wanted = 0;
    time_point m_answers_wanted_until;
};

} // namespace cardamomstream
