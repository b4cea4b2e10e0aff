#include "cardamomstream/request/placing/link_monitor.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds failure_ttl{1'500};

/// Fewer may be the upstream's own trouble.
constexpr std::size_t failing_upstreams = 2;
constexpr std::size_t min_tried = 2;

constexpr std::chrono::milliseconds round_interval{400};

constexpr std::chrono::milliseconds max_added_interval{1'200};

/// Links that are lost again within this time need more good rounds.
constexpr std::chrono::seconds flapping_time{10};
constexpr std::size_t max_needed_rounds = 4;

} // namespace

void link_monitor::record_failure(const upstream_name& upstream, time_point now)
{
    std::erase_if(m_failures, [&](const auto& failure) { return now - failure.second > failure_ttl; });
    m_failures[upstream] = now;
}

bool link_monitor::has_failed(const upstream_name& upstream, time_point now) const
{
    const auto found = m_failures.find(upstream);
    return found != m_failures.end() && now - found->second <= failure_ttl;
}

bool link_monitor::round_due(time_point now) const
{
    if (m_trying ||
        now - m_round_at < round_interval + (m_lost ? std::chrono::milliseconds{0} : m_interval)) {
        return false;
    }
    const auto failing = std::count_if(m_failures.begin(), m_failures.end(), [&](const auto& failure) {
        return now - failure.second <= failure_ttl;
    });
    return m_lost || static_cast<std::size_t>(failing) >= failing_upstreams;
}

bool link_monitor::end_round(std::size_t tried, std::size_t reached, time_point now)
{
    m_trying = false;
    // Failures of which the links are not the cause go on.
    m_interval = reached > 0 ? std::min(m_interval + round_interval, max_added_interval)
                             : std::chrono::milliseconds{0};
    if (!m_lost) {
        m_lost = tried >= min_tried && reached == 0;
        if (m_lost) {
            const bool flaps = m_back_at != time_point{} && now - m_back_at < flapping_time;
            m_needed_rounds = flaps ? std::min(2 * m_needed_rounds, max_needed_rounds) : 1;
            m_good_rounds = 0;
        }
        return m_lost;
    }
    m_good_rounds = tried == 0 || reached > 0 ? m_good_rounds + 1 : 0;
    if (m_good_rounds < m_needed_rounds) {
        return false;
    }
    m_lost = false;
    m_back_at = now;
    m_failures.clear();
    return true;
}

} // namespace cardamomstream
