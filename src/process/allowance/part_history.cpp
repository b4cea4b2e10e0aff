#include "part_history.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::size_t max_entries = 8;

bucket_share minimum_of(const bucket_share& left, const bucket_share& right)
{
    return {std::min(left.rate, right.rate), std::min(left.burst, right.burst), 0};
}

bool equal(const bucket_share& left, const bucket_share& right)
{
    return left.rate == right.rate && left.burst == right.burst;
}

} // namespace

void part_history::add(version_number version, const bucket_share& part)
{
    if (!m_parts.empty() && equal(m_parts.back().part, part)) {
        return;
    }
    m_parts.push_back({version, part});
    if (m_parts.size() <= max_entries) {
        return;
    }
    m_parts[1].part = minimum_of(m_parts[0].part, m_parts[1].part);
    m_parts.erase(m_parts.begin());
}

void part_history::forget_before(version_number oldest)
{
    while (m_parts.size() > 1 && m_parts[1].since <= oldest) {
        m_parts.erase(m_parts.begin());
    }
}

bucket_share part_history::minimum() const
{
    if (m_parts.empty()) {
        return {};
    }
    bucket_share result = m_parts.front().part;
    for (const entry& next : m_parts) {
        result = minimum_of(result, next.part);
    }
    return result;
}

} // namespace cardamomstream
