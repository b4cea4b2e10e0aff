#include "cardamomstream/process/reader_schedule.h"

#include "cardamomstream/process/rendezvous.h"

#include <algorithm>

namespace cardamomstream {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view fleet_key = "configuration readers";
constexpr milliseconds under_way_check{1'000};
constexpr std::uint32_t max_doublings = 10;

milliseconds random_below(milliseconds bound, std::mt19937_64& random)
{
    return milliseconds{std::uniform_int_distribution<milliseconds::rep>{0, bound.count()}(random)};
}

} // namespace

std::vector<vm_name> choose_readers(const std::vector<reader_candidate>& live,
                                    const reader_settings& settings)
{
    std::map<data_centre_name, std::vector<vm_name>> by_centre;
    for (const auto& candidate : live) {
        by_centre[candidate.data_centre].push_back(candidate.vm);
    }
    std::vector<std::vector<vm_name>> by_rank(settings.readers_per_data_centre);
    for (auto& [centre, vms] : by_centre) {
        const auto ranked = rank_by_rendezvous(centre.str(), std::move(vms));
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
    , m_budget(settings.reads_in_a_burst)
    , m_refilled(now)
    , m_confirmed(now)
{
}

read_decision reader_schedule::next(bool is_reader, time_point now, std::mt19937_64& random)
{
    if (m_under_way) {
        return {read_action::wait, now + under_way_check};
    }
    if (m_not_before && now < *m_not_before) {
        return {read_action::wait, *m_not_before};
    }
    if (m_confirm_now) {
        return spend(read_action::read, now);
    }
    if (is_reader) {
        return spend(read_action::watch, now);
    }
    if (!m_jitter) {
        m_jitter = random_below(m_settings.fallback_jitter, random);
    }
    const time_point due = m_confirmed + m_settings.fallback_after + *m_jitter;
    if (now < due) {
        return {read_action::wait, due};
    }
    return spend(read_action::read, now);
}

read_decision reader_schedule::spend(read_action action, time_point now)
{
    refill(now);
    if (m_budget < 1) {
        const double hours = (1 - m_budget) / m_settings.reads_per_hour;
        const auto wait =
            std::chrono::ceil<milliseconds>(std::chrono::duration<double, std::ratio<3600>>{hours});
        return {read_action::wait, now + wait};
    }
    m_budget -= 1;
    m_under_way = true;
    ++m_reads;
    return {action, now};
}

void reader_schedule::refill(time_point now)
{
    const std::chrono::duration<double, std::ratio<3600>> passed = now - m_refilled;
    m_budget =
        std::min<double>(m_settings.reads_in_a_burst, m_budget + passed.count() * m_settings.reads_per_hour);
    m_refilled = now;
}

void reader_schedule::read_succeeded(time_point now)
{
    m_under_way = false;
    m_confirm_now = false;
    m_not_before.reset();
    m_failures = 0;
    m_confirmed = std::max(m_confirmed, now);
    m_jitter.reset();
}

void reader_schedule::read_failed(time_point now, std::mt19937_64& random)
{
    m_under_way = false;
    const auto doubled = m_settings.retry_first * (1U << std::min(m_failures, max_doublings));
    const milliseconds longest = std::min(m_settings.retry_longest, doubled);
    ++m_failures;
    m_not_before = now + longest / 2 + random_below(longest / 2, random);
}

void reader_schedule::confirmed_by_peer(time_point confirmed)
{
    if (confirmed > m_confirmed) {
        m_confirmed = confirmed;
        m_jitter.reset();
    }
}

void reader_schedule::woke_after_pause()
{
    m_confirm_now = true;
    m_not_before.reset();
}

std::uint64_t reader_schedule::reads() const noexcept
{
    return m_reads;
}

} // namespace cardamomstream
