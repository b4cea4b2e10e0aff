#include "cardamomstream/request/admission_retry_budget.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::uint32_t max_doublings = 16;

} // namespace

std::string_view to_text(retry_verdict verdict) noexcept
{
    switch (verdict) {
    case retry_verdict::allowed:
        return "allowed";
    case retry_verdict::may_have_run:
        return "may_have_run";
    case retry_verdict::answer_begun:
        return "answer_begun";
    case retry_verdict::attempts_used:
        return "attempts_used";
    case retry_verdict::deadline_too_near:
        return "deadline_too_near";
    case retry_verdict::budget_exhausted:
        return "budget_exhausted";
    }
    return "unknown";
}

retry_budget::retry_budget(retry_settings settings)
    : m_settings(settings)
    , m_level(settings.burst)
{
}

void retry_budget::on_request()
{
    m_level = std::min(m_level + m_settings.fraction, m_settings.burst);
}

void retry_budget::set_burst(double burst)
{
    m_settings.burst = burst;
    m_level = std::min(m_level, burst);
}

retry_decision retry_budget::next(const retry_query& query, time_point now, std::mt19937_64& random)
{
    if (query.answer_begun) {
        return {retry_verdict::answer_begun, {}};
    }
    if (query.repeat == repeat_policy::at_most_once && query.outcome != run_outcome::not_run) {
        return {retry_verdict::may_have_run, {}};
    }
    if (query.attempts_made >= m_settings.max_attempts) {
        return {retry_verdict::attempts_used, {}};
    }
    const time_point at = now + backoff(query.attempts_made, random);
    if (at + query.min_attempt_duration > query.deadline) {
        return {retry_verdict::deadline_too_near, {}};
    }
    if (!query.reached_nobody) {
        if (m_level < 1) {
            return {retry_verdict::budget_exhausted, {}};
        }
        m_level -= 1;
    }
    return {retry_verdict::allowed, at};
}

std::chrono::microseconds retry_budget::backoff(std::uint32_t attempts_made, std::mt19937_64& random) const
{
    const auto doublings = std::min(attempts_made - std::min(1U, attempts_made), max_doublings);
    const auto max_backoff =
        std::min(m_settings.backoff_base * (std::int64_t{1} << doublings), m_settings.backoff_max);
    std::uniform_real_distribution<double> jitter{0.5, 1.0};
    return std::chrono::duration_cast<std::chrono::microseconds>(max_backoff * jitter(random));
}

} // namespace cardamomstream
