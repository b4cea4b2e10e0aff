#include "cardamomstream/request/placing/upstream_statements.h"

#include "keep_newest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstream {

namespace {

using seconds_f = std::chrono::duration<double>;

/// Statements of an upstream that is not listed are kept this long.
constexpr std::chrono::seconds unlisted_ttl{120};

/// An upstream that is leaving may be listed again late, by a store that was away.
constexpr std::chrono::hours unlisted_leaving_ttl{1};

/// The end of a limit is reported for this long, until every VM must have received it.
constexpr std::chrono::seconds ended_limit_ttl{30};

constexpr std::size_t max_reported_limits = 256; ///< a datagram holds them beside the rest of a report

constexpr std::chrono::seconds send_history{2}; ///< longer than any window with a share above one per second

/// A longer pause is tested for its end after this time, so that no statement keeps requests away for ever.
constexpr std::chrono::seconds max_pause{60};

/// After a pause, requests are sent no faster than this until an answer comes.
constexpr std::chrono::milliseconds trial_interval{1'000};

constexpr double max_limited_rate = 10'000; ///< a higher share is no limit for one VM

/// Sends that a share allows at once, and the time in which it allows no more of them.
struct send_window {
    std::size_t sends = 0;
    seconds_f length{0};
};

send_window window_of(double requests_per_second)
{
    const double sends = std::ceil(requests_per_second);
    return {static_cast<std::size_t>(sends), seconds_f(sends / requests_per_second)};
}

} // namespace

bool upstream_statements::record_limit(const upstream_name& upstream, std::int64_t started_unix_ms,
                                       const limit_statement& statement, time_point sent_at, time_point now)
{
    on_listed(upstream, started_unix_ms);
    const auto known = m_entries.find(upstream);
    if (!statement.valid || (known == m_entries.end() && !statement.requests_per_second)) {
        return false;
    }
    auto& stated = m_entries[upstream];
    stated.started_unix_ms = started_unix_ms;
    // The answer was made after its request was sent, but possibly before an earlier answer arrived.
    const auto at = statement.requests_per_second ? now : sent_at;
    if (at < stated.own.at) {
        return false;
    }
    stated.own = {statement.requests_per_second, at};
    if (at < stated.newest.at) {
        return false;
    }
    const bool changed = stated.newest.requests_per_second != statement.requests_per_second;
    stated.newest = stated.own;
    return changed;
}

void upstream_statements::apply_reported(const std::vector<stated_limit>& limits, time_point received_at)
{
    for (const auto& reported : limits) {
        const auto known = m_entries.find(reported.upstream);
        const bool unknown = known == m_entries.end();
        if (unknown ? !reported.requests_per_second
                    : known->second.started_unix_ms != reported.started_unix_ms) {
            continue;
        }
        auto& stated = m_entries[reported.upstream];
        stated.started_unix_ms = reported.started_unix_ms;
        if (const auto at = received_at - reported.age; at > stated.newest.at) {
            stated.newest = {reported.requests_per_second, at};
        }
    }
}

std::vector<stated_limit> upstream_statements::own_limits(time_point now)
{
    expire(now);
    std::vector<stated_limit> limits;
    for (const auto& [upstream, stated] : m_entries) {
        const bool observed = stated.own.at != time_point{};
        if (observed && (stated.own.requests_per_second || now - stated.own.at < ended_limit_ttl)) {
            limits.push_back({upstream, stated.started_unix_ms, stated.own.requests_per_second,
                              std::chrono::floor<std::chrono::milliseconds>(now - stated.own.at)});
        }
    }
    keep_newest(limits, max_reported_limits);
    return limits;
}

void upstream_statements::expire(time_point now)
{
    std::erase_if(m_entries, [&](const auto& known) {
        const auto& stated = known.second;
        const auto age = now - stated.newest.at;
        const bool limit_ended = (!stated.listed && age > unlisted_ttl) ||
                                 (!stated.newest.requests_per_second && age > ended_limit_ttl);
        const bool leaving =
            stated.leaving && (stated.listed || now - stated.leaving_stated_at < unlisted_leaving_ttl);
        return limit_ended && !leaving && now - stated.paused_until > unlisted_ttl;
    });
}

std::optional<double> upstream_statements::limit(const upstream_name& upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? std::nullopt : found->second.newest.requests_per_second;
}

void upstream_statements::count_send(const upstream_name& upstream, time_point now)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end()) {
        return;
    }
    if (auto& paused_until = found->second.paused_until; paused_until != time_point{}) {
        paused_until = std::max(paused_until, now + trial_interval);
    }
    if (!found->second.newest.requests_per_second) {
        return;
    }
    auto& sends = found->second.sends;
    while (!sends.empty() && now - sends.front() > send_history) {
        sends.pop_front();
    }
    sends.push_back(now);
}

std::chrono::milliseconds upstream_statements::time_until_send(const upstream_name& upstream,
                                                               double requests_per_second,
                                                               time_point now) const
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || requests_per_second > max_limited_rate) {
        return {};
    }
    const auto& sends = found->second.sends;
    const auto window = window_of(requests_per_second);
    if (sends.size() < window.sends) {
        return {};
    }
    const auto oldest = sends[sends.size() - window.sends];
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(window.length - (now - oldest));
    return std::max(left, std::chrono::milliseconds{0});
}

void upstream_statements::record_pause(const upstream_name& upstream, std::int64_t started_unix_ms,
                                       std::optional<std::chrono::milliseconds> pause, time_point sent_at,
                                       time_point now)
{
    on_listed(upstream, started_unix_ms);
    if (pause) {
        auto& stated = m_entries[upstream];
        stated.started_unix_ms = started_unix_ms;
        stated.paused_until =
            std::max(stated.paused_until, now + std::min<std::chrono::milliseconds>(*pause, max_pause));
        stated.pause_stated_at = now;
        return;
    }
    const auto found = m_entries.find(upstream);
    if (found != m_entries.end() && sent_at >= found->second.pause_stated_at) {
        found->second.paused_until = {};
    }
}

std::chrono::milliseconds upstream_statements::pause_left(const upstream_name& upstream, time_point now) const
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || found->second.paused_until <= now) {
        return {};
    }
    return std::chrono::ceil<std::chrono::milliseconds>(found->second.paused_until - now);
}

bool upstream_statements::record_leaving(const upstream_name& upstream, std::int64_t started_unix_ms,
                                         time_point now)
{
    on_listed(upstream, started_unix_ms);
    auto& stated = m_entries[upstream];
    stated.started_unix_ms = started_unix_ms;
    stated.leaving_stated_at = now;
    return !std::exchange(stated.leaving, true);
}

bool upstream_statements::is_leaving(const upstream_name& upstream) const
{
    const auto found = m_entries.find(upstream);
    return found != m_entries.end() && found->second.leaving;
}

void upstream_statements::begin_listing()
{
    for (auto& [upstream, stated] : m_entries) {
        stated.listed = false;
    }
}

void upstream_statements::on_listed(const upstream_name& upstream, std::int64_t started_unix_ms)
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end()) {
        return;
    }
    if (found->second.started_unix_ms != started_unix_ms) {
        m_entries.erase(found);
        return;
    }
    found->second.listed = true;
}

} // namespace cardamomstream
