#include "cardamomstream/request/placing/upstream_work.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::uint32_t usual_percent = 100;

/// Less is not worth a report.
constexpr std::uint32_t reported_percent = 120;

} // namespace

void upstream_work::note(entry& known, const observation& made)
{
    if (made.at < known.newest.at) {
        return;
    }
    known.newest = made;
    if (made.percent >= reported_percent) {
        known.slowed_at = made.at;
    }
}

void upstream_work::record(const upstream_name& upstream, std::int64_t started_unix_ms, std::uint32_t percent,
                           time_point now)
{
    auto& known = m_entries[upstream];
    known.own = {started_unix_ms, percent, now};
    note(known, known.own);
}

void upstream_work::apply_reported(const std::vector<stated_work>& works, time_point received_at)
{
    for (const auto& work : works) {
        if (work.age < statement_ttl) {
            note(m_entries[work.upstream], {work.started_unix_ms, work.percent, received_at - work.age});
        }
    }
}

std::vector<stated_work> upstream_work::own(time_point now) const
{
    std::vector<stated_work> works;
    for (const auto& [upstream, known] : m_entries) {
        const bool fresh = known.own.at != time_point{} && now - known.own.at < statement_ttl;
        // That work takes as long as usual is news only where others may believe that it takes longer.
        const bool news = known.own.percent >= reported_percent || now - known.slowed_at < statement_ttl;
        if (fresh && news) {
            works.push_back({upstream, known.own.started_unix_ms, known.own.percent,
                             std::chrono::floor<std::chrono::milliseconds>(now - known.own.at)});
        }
    }
    return works;
}

double upstream_work::factor(const upstream_name& upstream, time_point now) const
{
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || now - found->second.newest.at >= statement_ttl) {
        return 1;
    }
    return static_cast<double>(std::max(found->second.newest.percent, usual_percent)) / usual_percent;
}

void upstream_work::expire(time_point now)
{
    std::erase_if(m_entries,
                  [&](const auto& item) { return now - item.second.newest.at >= 2 * statement_ttl; });
}

} // namespace cardamomstream
