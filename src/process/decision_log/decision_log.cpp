#include "cardamomstream/process/decision_log.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

namespace cardamomstream {

decision_log::decision_log(decision_log_limits limits)
    : m_budgets{{{limits.ordinary_per_second, limits.ordinary_per_second * limits.burst_seconds},
                 {limits.failures_per_second, limits.failures_per_second * limits.burst_seconds},
                 {limits.states_per_second, limits.states_per_second * limits.burst_seconds}}}
    , m_burst_seconds(limits.burst_seconds)
    , m_filled_at(boot_clock::now())
{
}

bool decision_log::admit(log_weight weight)
{
    const std::lock_guard lock(m_mutex);
    const auto now = boot_clock::now();
    const double passed = std::chrono::duration<double>(now - m_filled_at).count();
    m_filled_at = now;
    for (auto& one : m_budgets) {
        one.level = std::min(one.level + passed * one.per_second, one.per_second * m_burst_seconds);
    }
    auto& mine = m_budgets.at(static_cast<std::size_t>(weight));
    if (mine.level < 1) {
        return false;
    }
    mine.level -= 1;
    return true;
}

void decision_log::write(log_weight weight, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!admit(weight)) {
        m_left_out += 1;
        return;
    }
    boost::json::object line{{"event", event}};
    for (const auto& field : fields) {
        std::visit([&](const auto& value) { line[field.name] = value; }, field.value);
    }
    if (const auto left_out = m_left_out.load(); left_out > 0) {
        line["lines_left_out"] = left_out;
    }
    const auto level = weight == log_weight::failure ? spdlog::level::warn : spdlog::level::info;
    spdlog::log(level, boost::json::serialize(line));
}

} // namespace cardamomstream
