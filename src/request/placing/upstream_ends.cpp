#include "cardamomstream/request/placing/upstream_ends.h"

#include "keep_newest.h"

#include <algorithm>

namespace cardamomstream {

namespace {

/// A sign that another VM has noticed may be so much older.
constexpr std::chrono::milliseconds reported_lateness{500};

/// Bytes that were under way when the process ended have come by then, but for those that wait for a slow
/// caller.
constexpr std::chrono::milliseconds settle_time{100};
constexpr std::chrono::milliseconds slow_settle_time{1'000};

/// The ages in reports differ by their time on the way.
constexpr std::chrono::milliseconds report_jitter{150};

/// After so long without bytes, another connection is taken for the oldest one that works.
constexpr std::chrono::milliseconds working_ttl{200};

/// An upstream may be down for long before it starts again.
constexpr std::chrono::seconds sign_ttl{60};

/// After so long with answers, a further sign is one of another end.
constexpr std::chrono::seconds answered_ttl{10};

/// Signs of one upstream that come within this time are one for the other VMs.
constexpr std::chrono::milliseconds new_sign_interval{300};

/// The answer comes later than the start.
constexpr std::chrono::milliseconds cold_margin{500};

constexpr std::size_t max_reported_ends = 64; ///< a datagram holds them beside the rest of a report

} // namespace

upstream_ends::sign* upstream_ends::add_sign(const upstream_name& upstream, std::int64_t started_unix_ms,
                                             time_point at, time_point ran_at)
{
    auto& known = m_upstreams[upstream];
    if (at <= known.disproved_at + report_jitter) {
        return nullptr;
    }
    const bool is_other = !known.end || known.end->started_unix_ms < started_unix_ms ||
                          (known.end->answered_at && at - *known.end->answered_at > answered_ttl);
    if (is_other) {
        known.end = sign{started_unix_ms, ran_at, at, at, {}, {}, false};
    }
    auto& end = *known.end;
    end.ran_at = std::min(end.ran_at, ran_at);
    end.first_at = std::min(end.first_at, at);
    end.ended_at = std::max(end.ended_at, at);
    if (end.answered_at && *end.answered_at < at) {
        end.answered_at.reset();
    }
    return &end;
}

bool upstream_ends::record_end(const upstream_name& upstream, std::int64_t started_unix_ms, time_point at,
                               std::chrono::nanoseconds since)
{
    auto* end = add_sign(upstream, started_unix_ms, at, at - since);
    if (end == nullptr) {
        return false;
    }
    const bool is_new = !end->own_ended_at || at - *end->own_ended_at > new_sign_interval;
    end->own_ended_at = std::max(at, end->own_ended_at.value_or(at));
    return is_new;
}

void upstream_ends::record_reported(const upstream_name& upstream, std::int64_t started_unix_ms,
                                    time_point at)
{
    if (auto* end = add_sign(upstream, started_unix_ms, at, at - reported_lateness)) {
        end->reported = true;
    }
}

void upstream_ends::record_answer(const upstream_name& upstream, const received_bytes& received)
{
    auto& known = m_upstreams[upstream];
    auto& oldest = known.oldest;
    if (received.connected_at <= oldest.connected_at || received.now - oldest.last_byte_at > working_ttl) {
        oldest = {received.connected_at, received.now};
    }
    if (!known.end) {
        return;
    }
    auto& end = *known.end;
    const bool sent_since = received.sent_at > end.ended_at;
    if (received.connected_at > end.ran_at) {
        const bool of_successor =
            received.connected_at > end.ended_at || sent_since || received.now - end.ended_at > settle_time;
        if (of_successor) {
            end.answered_at = end.answered_at.value_or(received.now);
        }
        return;
    }
    if (sent_since || received.now - end.ended_at > slow_settle_time) {
        known.disproved_at = std::max(end.ended_at, received.now - settle_time);
        known.end.reset();
    }
}

bool upstream_ends::may_have_restarted(const upstream_name& upstream, std::chrono::milliseconds cold_time,
                                       time_point now) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || !found->second.end) {
        return false;
    }
    const auto& end = *found->second.end;
    return end.answered_at ? now - *end.answered_at < cold_time + cold_margin : now - end.ended_at < sign_ttl;
}

std::optional<time_point> upstream_ends::last_answer_on_older(const upstream_name& upstream,
                                                              time_point at) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || found->second.oldest.connected_at >= at) {
        return std::nullopt;
    }
    return found->second.oldest.last_byte_at;
}

std::vector<upstream_end> upstream_ends::own_ends(time_point now)
{
    std::erase_if(m_upstreams, [&](const auto& item) {
        const auto& known = item.second;
        const auto newest = std::max({known.oldest.last_byte_at, known.disproved_at,
                                      known.end ? known.end->ended_at : time_point{},
                                      known.last ? known.last->ended_at : time_point{}});
        return now - newest > sign_ttl;
    });
    std::vector<upstream_end> ends;
    for (const auto& [upstream, known] : m_upstreams) {
        if (known.end && known.end->own_ended_at &&
            (!known.end->answered_at || now - *known.end->answered_at < answered_ttl)) {
            ends.push_back({upstream, known.end->started_unix_ms,
                            std::chrono::floor<std::chrono::milliseconds>(now - *known.end->own_ended_at)});
        }
    }
    keep_newest(ends, max_reported_ends);
    return ends;
}

void upstream_ends::discard_own(time_point since)
{
    for (auto& [upstream, known] : m_upstreams) {
        if (!known.end || !known.end->own_ended_at || known.end->first_at < since) {
            continue;
        }
        if (known.end->reported) {
            known.end->own_ended_at.reset();
        }
        else {
            known.end.reset();
        }
    }
}

void upstream_ends::on_listed(const upstream_name& upstream, std::int64_t started_unix_ms)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || !found->second.end ||
        found->second.end->started_unix_ms == started_unix_ms) {
        return;
    }
    const auto& end = *found->second.end;
    if (end.started_unix_ms < started_unix_ms) {
        found->second.last = succession{end.started_unix_ms, started_unix_ms, end.first_at};
        found->second.end.reset();
    }
}

bool upstream_ends::was_sent_to_successor(const upstream_name& upstream, time_point sent_at,
                                          std::int64_t sent_to, std::int64_t listed) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || !found->second.last) {
        return false;
    }
    const auto& last = *found->second.last;
    return sent_to == last.predecessor && listed == last.successor && sent_at > last.ended_at;
}

} // namespace cardamomstream
