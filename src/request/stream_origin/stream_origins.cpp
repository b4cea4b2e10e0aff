#include "cardamomstream/request/stream_origin/stream_origins.h"

#include <algorithm>
#include <utility>

#include <boost/range/adaptor/reversed.hpp>
#include <xxhash.h>

namespace cardamomstream {

namespace {

/// Between a caller's last try and its arrival, and from an upstream's end until it is no longer listed.
constexpr std::chrono::milliseconds life_margin{5'000};

/// Longest time without a confirmation of the list: the process may have stood still meanwhile.
constexpr std::chrono::seconds confirmation_ttl{10};

/// VMs whose streams are asked for after a start, or after reports were missed: the first one that answers
/// may have missed some as well.
constexpr int answers_after_gap = 2;

/// Streams of one age in an answer.
constexpr std::chrono::milliseconds age_step{1'000};

std::uint64_t key_of(const request_id& attempt)
{
    return XXH3_64bits(attempt.str().data(), attempt.str().size());
}

} // namespace

std::string_view to_text(origin_gap gap)
{
    switch (gap) {
    case origin_gap::none:
        return "none";
    case origin_gap::version_uncertain:
        return "version_uncertain";
    case origin_gap::list_unconfirmed:
        return "list_unconfirmed";
    case origin_gap::list_known_shortly:
        return "list_known_shortly";
    case origin_gap::several_versions:
        return "several_versions";
    case origin_gap::list_not_read:
        return "list_not_read";
    }
    return "unknown";
}

void stream_origins::set_stream_life(std::chrono::milliseconds life)
{
    // Callers may still come back under the longer time of an earlier plan.
    m_life = std::max(m_life, life + life_margin);
}

void stream_origins::set_listed(const service_versions& listed, time_point now)
{
    for (const auto& [service, versions] : m_listed) {
        for (const auto& version : versions) {
            m_seen[service][version] = now;
        }
    }
    m_listed = listed;
    for (const auto& [service, versions] : m_listed) {
        for (const auto& version : versions) {
            m_seen[service][version] = now;
        }
    }
}

void stream_origins::set_list_confirmed(bool confirmed, time_point now, store_position read_up_to)
{
    m_read_up_to = read_up_to;
    if (!confirmed || m_listed.empty()) {
        m_confirmed_since.reset();
    }
    else if (!m_confirmed_since || now - m_confirmed_until > confirmation_ttl) {
        m_confirmed_since = now;
        m_known_from = read_up_to;
        want_answers(now);
    }
    m_confirmed_until = now;
    expire(now);
}

void stream_origins::set_list_read(time_point began)
{
    m_list_read_began = std::max(m_list_read_began, began);
}

bool stream_origins::needs_list_read(const request_id& attempt, const pool_name& service,
                                     time_point arrived) const
{
    return m_list_read_began < arrived && !m_streams.contains(key_of(attempt)) &&
           only_version(service, arrived);
}

stream_origins::origin_index stream_origins::index_of(const stream_origin& origin)
{
    const auto found = std::find(m_origins.begin(), m_origins.end(), origin);
    if (found != m_origins.end()) {
        return static_cast<origin_index>(found - m_origins.begin());
    }
    m_origins.push_back(origin);
    return static_cast<origin_index>(m_origins.size() - 1);
}

void stream_origins::add(std::uint64_t key, std::optional<origin_index> origin, time_point now)
{
    const auto [known, is_new] = m_streams.emplace(key, stream{origin, now});
    if (is_new) {
        m_by_age.emplace_back(now, key);
    }
    else if (known->second.origin != origin) {
        known->second.origin.reset(); // contradictory
    }
}

void stream_origins::record(const request_id& attempt, const std::optional<stream_origin>& origin,
                            bool reported, time_point now)
{
    const auto key = key_of(attempt);
    if (!origin) {
        add(key, std::nullopt, now);
        return;
    }
    const auto index = index_of(*origin);
    m_seen[origin->service][origin->version] = now;
    add(key, index, now);
    if (reported) {
        m_own.push_back({key, index, now, {}});
    }
}

std::optional<stream_origin> stream_origins::find(const request_id& attempt, const pool_name& service,
                                                  time_point arrived) const
{
    const auto known = m_streams.find(key_of(attempt));
    if (known == m_streams.end()) {
        if (m_list_read_began < arrived) {
            return std::nullopt;
        }
        const auto version = only_version(service, arrived);
        return version ? std::optional(stream_origin{service, *version}) : std::nullopt;
    }
    return known->second.origin ? std::optional(m_origins[*known->second.origin]) : std::nullopt;
}

origin_gap stream_origins::gap(const request_id& attempt, const pool_name& service, time_point arrived) const
{
    if (find(attempt, service, arrived)) {
        return origin_gap::none;
    }
    if (m_streams.contains(key_of(attempt))) {
        return origin_gap::version_uncertain;
    }
    if (!m_confirmed_since) {
        return origin_gap::list_unconfirmed;
    }
    if (!known_long_enough(arrived)) {
        return origin_gap::list_known_shortly;
    }
    return only_version(service, arrived) ? origin_gap::list_not_read : origin_gap::several_versions;
}

bool stream_origins::known_long_enough(time_point now) const
{
    return m_confirmed_since && now - *m_confirmed_since >= m_life;
}

std::optional<std::string> stream_origins::only_version(const pool_name& service, time_point now) const
{
    const auto listed = m_listed.find(service);
    const auto seen = m_seen.find(service);
    if (!known_long_enough(now) || listed == m_listed.end() || listed->second.size() != 1 ||
        seen == m_seen.end()) {
        return std::nullopt;
    }
    const auto& version = *listed->second.begin();
    const bool alone = std::all_of(seen->second.begin(), seen->second.end(), [&](const auto& other) {
        return other.first == version || now - other.second >= m_life;
    });
    return alone ? std::optional(version) : std::nullopt;
}

template <class Action>
void stream_origins::for_each_recent_version(time_point now, Action found) const
{
    for (const auto& [service, versions] : m_seen) {
        const auto listed = m_listed.find(service);
        for (const auto& [version, seen] : versions) {
            const bool still_listed = listed != m_listed.end() && listed->second.contains(version);
            const auto age = still_listed ? boot_clock::duration::zero() : now - seen;
            if (age < m_life) {
                found(service, version, std::chrono::floor<std::chrono::milliseconds>(age));
            }
        }
    }
}

std::set<pool_name> stream_origins::services_of_several_versions(time_point now) const
{
    std::map<pool_name, int> versions;
    for_each_recent_version(
        now, [&](const pool_name& service, const std::string&, auto) { versions[service] += 1; });
    std::set<pool_name> several;
    for (const auto& [service, count] : versions) {
        if (count > 1) {
            several.insert(service);
        }
    }
    return several;
}

bool stream_origins::needs_report(time_point now) const
{
    return !known_long_enough(now) || !services_of_several_versions(now).empty();
}

void stream_origins::apply_reported(const std::vector<reported_origins>& reported, time_point now)
{
    for (const auto& origin : reported) {
        m_seen[origin.service][origin.version] = now;
        const auto index = index_of({origin.service, origin.version});
        for (const auto attempt : origin.attempts) {
            add(attempt, index, now);
        }
    }
}

void stream_origins::note_reports_missed(time_point now)
{
    if (!services_of_several_versions(now).empty()) {
        want_answers(now);
    }
}

void stream_origins::want_answers(time_point now)
{
    m_answers_wanted = answers_after_gap;
    m_answers_wanted_until = now + m_life; // streams of the time before have ended then
}

std::optional<origin_query> stream_origins::query(time_point now) const
{
    const bool answers_wanted = m_answers_wanted > 0 && now < m_answers_wanted_until;
    if (!m_confirmed_since || (known_long_enough(now) && !answers_wanted)) {
        return std::nullopt;
    }
    return origin_query{m_known_from};
}

origin_knowledge stream_origins::knowledge(time_point now) const
{
    origin_knowledge known;
    known.read_up_to = m_read_up_to;
    if (m_confirmed_since) {
        // Versions that were listed earlier are not part of the answer.
        known.list_known =
            std::min(m_life, std::chrono::floor<std::chrono::milliseconds>(now - *m_confirmed_since));
    }
    for_each_recent_version(now, [&](const pool_name& service, const std::string& version, auto age) {
        known.versions.push_back({service, version, age});
    });
    known.streams = streams_of(services_of_several_versions(now), now);
    return known;
}

std::vector<reported_origins> stream_origins::streams_of(const std::set<pool_name>& services,
                                                         time_point now) const
{
    std::map<std::pair<origin_index, boot_clock::duration>, std::vector<std::uint64_t>> streams;
    std::size_t added = 0;
    for (const auto& [noted_at, key] : boost::adaptors::reverse(m_by_age)) {
        const auto known = m_streams.find(key);
        if (known == m_streams.end() || !known->second.origin || now - known->second.began_at > m_life) {
            continue;
        }
        const auto origin = *known->second.origin;
        if (services.contains(m_origins[origin].service)) {
            const auto age = now - known->second.began_at;
            streams[{origin, age - age % age_step}].push_back(key);
            if (++added == max_streams_per_answer) {
                break;
            }
        }
    }
    std::vector<reported_origins> groups;
    for (auto& [group, keys] : streams) {
        const auto& origin = m_origins[group.first];
        groups.push_back({origin.service, origin.version, std::move(keys),
                          std::chrono::floor<std::chrono::milliseconds>(group.second)});
    }
    return groups;
}

bool stream_origins::learn(const origin_knowledge& known, time_point now)
{
    for (const auto& [service, version, age] : known.versions) {
        auto& seen = m_seen[service][version];
        seen = std::max(seen, now - age);
    }
    for (const auto& origin : known.streams) {
        const auto index = index_of({origin.service, origin.version});
        for (const auto attempt : origin.attempts) {
            add(attempt, index, now - origin.age);
        }
    }
    if (known.list_known >= m_life && m_answers_wanted > 0) {
        m_answers_wanted -= 1;
    }
    const bool without_gap = known.read_up_to.era == m_known_from.era && known.read_up_to >= m_known_from;
    if (without_gap && m_confirmed_since) {
        m_confirmed_since = std::min(*m_confirmed_since, now - known.list_known);
    }
    return without_gap;
}

std::vector<reported_origins> stream_origins::take_report(time_point now, bool leaving)
{
    std::vector<reported_origins> report;
    if (!leaving && !needs_report(now)) {
        return report;
    }
    std::map<origin_index, std::vector<std::uint64_t>> attempts;
    std::size_t added = 0;
    // The newest first: of older ones, most have ended.
    for (auto& own : boost::adaptors::reverse(m_own)) {
        if (!own.reported_from) {
            if (added == max_new_per_report) {
                continue;
            }
            own.reported_from = now;
            ++added;
        }
        if (now - *own.reported_from < report_time) {
            attempts[own.origin].push_back(own.key);
        }
    }
    for (auto& [origin, keys] : attempts) {
        report.push_back({m_origins[origin].service, m_origins[origin].version, std::move(keys)});
    }
    return report;
}

void stream_origins::expire(time_point now)
{
    while (!m_by_age.empty() && now - m_by_age.front().first > m_life) {
        m_streams.erase(m_by_age.front().second);
        m_by_age.pop_front();
    }
    while (!m_own.empty() && now - m_own.front().began_at > m_life) {
        m_own.pop_front();
    }
}

} // namespace cardamomstream
