#include "cardamomstream/process/deployment/reported_ends.h"

namespace cardamomstream {

namespace {

/// Reports don't repeat older ends.
constexpr std::chrono::seconds memory{60};

} // namespace

bool reported_ends::record(const std::vector<upstream_end>& ends, time_point now)
{
    bool is_new = false;
    for (const auto& end : ends) {
        const auto sign = now - end.age;
        const auto [known, added] = m_signs.try_emplace({end.upstream, end.started_unix_ms}, sign);
        if (added || sign - known->second >= min_gap) {
            known->second = sign;
            is_new = true;
        }
    }
    if (is_new) {
        forget(now);
    }
    return is_new;
}

void reported_ends::forget(time_point now)
{
    std::erase_if(m_signs, [&](const auto& sign) { return now - sign.second > memory; });
}

} // namespace cardamomstream
