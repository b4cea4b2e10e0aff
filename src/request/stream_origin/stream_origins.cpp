#include "cardamomstream/request/stream_origin/stream_origins.h"

#include <algorithm>
#include <utility>

#include <boost/range/adaptor/reversed.hpp>
#include <xxhash.h>

namespace cardamomstream {

namespace {

/// Between a caller's last try and its arrival, and from an upstream's end until it is no longer listed.
constexpr std::chrono::milliseconds life_margin{5'000};

/// Each stream is in the reports of this time, since reports get lost, and the summaries to other regions are
/// made of the last report of each VM.
constexpr std::chrono::milliseconds report_time{900};

/// Longest time without a confirmation of the list: the process may have stood still meanwhile.
constexpr std::chrono::seconds confirmation_ttl{10};

std::uint64_t key_of(const request_id& attempt)
{
    return XXH3_64bits(attempt.str().data(), attempt.str().size());
}

} // namespace

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

void stream_origins::set_list_confirmed(bool confirmed, time_point now)
{
    if (!confirmed || m_listed.empty()) {
        m_confirmed_since.reset();
    }
    else if (!m_confirmed_since || now - m_confirmed_until > confirmation_ttl) {
        m_confirmed_since = now;
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

bool stream_origins::needs_report(time_point now) const
{
    return !known_long_enough(now) || std::any_of(m_seen.begin(), m_seen.end(), [&](const auto& service) {
        const auto listed = m_listed.find(service.first);
        const auto still_listed = [&](const std::string& version) {
            return listed != m_listed.end() && listed->second.contains(version);
        };
        return std::count_if(service.second.begin(), service.second.end(), [&](const auto& version) {
                   return still_listed(version.first) || now - version.second < m_life;
               }) > 1;
    });
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

std::vector<reported_origins> stream_origins::take_report(time_point now)
{
    std::vector<reported_origins> report;
    if (!needs_report(now)) {
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
