#include "cardamomstream/process/reader_schedule.h"

#include "cardamomstream/process/rendezvous.h"

#include <algorithm>

namespace cardamomstream {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view fleet_key = "configuration readers";
constexpr milliseconds in_progress_poll_interval{1'000};
constexpr std::uint32_t max_doublings = 10;

milliseconds random_below(milliseconds bound, std::mt19937_64& random)
{
    return milliseconds{std::uniform_int_distribution<milliseconds::rep>{0, bound.count()}(random)};
}

} // namespace

std::vector<vm_name> choose_readers(const std::vector<reader_candidate>& live,
                                    const reader_settings& settings)
{
    std::map<data_centre_name, std::vector<vm_name>> by_data_centre;
    for (const auto& candidate : live) {
        by_data_centre[candidate.data_centre].push_back(candidate.vm);
    }
    std::vector<std::vector<vm_name>> by_rank(settings.readers_per_data_centre);
    for (auto& [data_centre, vms] : by_data_centre) {
        const auto ranked = rank_by_rendezvous(data_centre.str(), std::move(vms));
        for (std::size_t rank = 0; rank < std::min(ranked.size(), by_rank.size()); ++rank) {
            by_rank[rank].push_back(ranked[rank]);
        }
    }
    std::vector<vm_name> readers;
    for (auto& same_rank : by_rank) {
        for (auto& vm : rank_by_rendezvous(fleet_key, std::move(same_rank))) {
            if (readers.size() < settings.max_readers) {
                readers.push_back(std::move(vm));
            }
        }
    }
    return readers;
}

reader_schedule::reader_schedule(reader_settings settings, time_point now)
    : m_settings(settings)
    , m_budget(settings.read_burst)
    , m_refilled_at(now)
    , m_confirmed_at(now)
{
}

read_decision reader_schedule::next(bool is_reader, time_point now, std::mt19937_64& random)
{
    if (m_read_in_progress) {
        return {read_action::wait, now + in_progress_poll_interval};
    }
    if (m_not_before && now < *m_not_before) {
        return {read_action::wait, *m_not_before};
    }
    if (m_read_now) {
        return spend_budget(read_action::read, now);
    }
    if (is_reader) {
        return spend_budget(read_action::watch, now);
    }
    if (!m_fallback_jitter) {
        m_fallback_jitter = random_below(m_settings.fallback_jitter, random);
    }
    const time_point due = m_confirmed_at + m_settings.fallback_delay + *m_fallback_jitter;
    if (now < due) {
        return {read_action::wait, due};
    }
    return spend_budget(read_action::read, now);
}

read_decision reader_schedule::spend_budget(read_action action, time_point now)
{
    refill(now);
    if (m_budget < 1) {
        const double hours = (1 - m_budget) / m_settings.reads_per_hour;
        const auto wait =
            std::chrono::ceil<milliseconds>(std::chrono::duration<double, std::ratio<3600>>{hours});
        return {read_action::wait, now + wait};
    }
    m_budget -= 1;
    m_read_in_progress = true;
    ++m_reads;
    return {action, now};
}

void reader_schedule::refill(time_point now)
{
    const std::chrono::duration<double, std::ratio<3600>> elapsed = now - m_refilled_at;
    m_budget =
        std::min<double>(m_settings.read_burst, m_budget + elapsed.count() * m_settings.reads_per_hour);
    m_refilled_at = now;
}

void reader_schedule::read_succeeded(time_point now)
{
    m_read_in_progress = false;
    m_read_now = false;
    m_not_before.reset();
    m_failures = 0;
    m_confirmed_at = std::max(m_confirmed_at, now);
    m_fallback_jitter.reset();
}

void reader_schedule::read_failed(time_point now, std::mt19937_64& random)
{
    m_read_in_progress = false;
    const auto doubled = m_settings.initial_retry_delay * (1U << std::min(m_failures, max_doublings));
    const milliseconds max_delay = std::min(m_settings.max_retry_delay, doubled);
    ++m_failures;
    m_not_before = now + max_delay / 2 + random_below(max_delay / 2, random);
}

void reader_schedule::confirmed_by_peer(time_point confirmed)
{
    if (confirmed > m_confirmed_at) {
        m_confirmed_at = confirmed;
        m_fallback_jitter.reset();
    }
}

void reader_schedule::woke_after_pause()
{
    m_read_now = true;
    m_not_before.reset();
}

std::uint64_t reader_schedule::reads() const noexcept
{
    return m_reads;
}

} // namespace cardamomstream
