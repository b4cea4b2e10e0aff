#include "cardamomstream/request/placing/upstream_statements.h"

namespace cardamomstream {

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
    if (!statement.requests_per_second && sent_at < stated.limit_stated_at) {
        return false;
    }
    stated.limit_stated_at = statement.requests_per_second ? now : sent_at;
    const bool changed = stated.requests_per_second != statement.requests_per_second;
    stated.requests_per_second = statement.requests_per_second;
    return changed;
}

std::optional<double> upstream_statements::limit(const upstream_name& upstream) const
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? std::nullopt : found->second.requests_per_second;
}

void upstream_statements::on_listed(const upstream_name& upstream, std::int64_t started_unix_ms)
{
    const auto found = m_entries.find(upstream);
    if (found != m_entries.end() && found->second.started_unix_ms != started_unix_ms) {
        m_entries.erase(found);
    }
}

} // namespace cardamomstream
