#include "store_follower.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/operations.hpp>

namespace cardamomstream {

namespace {

/// Watches of different VMs end at different times, so that in a large fleet some VM soon notices a store
/// that has gone silent.
constexpr std::chrono::milliseconds least_wait{1'500};

constexpr std::chrono::milliseconds first_retry{100};
constexpr std::chrono::milliseconds longest_retry{1'000};

} // namespace

store_follower::store_follower(std::string prefix, platform::store_client& store, store_contact& contact,
                               decision_log& log, std::uint64_t seed)
    : m_prefix(std::move(prefix))
    , m_store(store)
    , m_contact(contact)
    , m_log(log)
    , m_random(seed)
    , m_pace{least_wait, {}}
{
}

void store_follower::run()
{
    auto retry = first_retry;
    while (true) {
        if (m_listed ? watch() : list()) {
            retry = first_retry;
            continue;
        }
        boost::this_fiber::sleep_for(retry);
        retry = std::min(retry * 2, longest_retry);
    }
}

bool store_follower::list()
{
    cancellation cancel;
    const auto all = m_store.list(m_prefix, cancel);
    if (!all) {
        note_failure(all.error());
        return false;
    }
    note_answer();
    m_revision = all.value().revision;
    m_listed = true;
    for (const auto& item : all.value().items) {
        m_lag.know(item.revision);
    }
    m_on_listing(all.value());
    return true;
}

bool store_follower::watch()
{
    cancellation cancel;
    m_waiting = &cancel;
    const auto changes = m_store.watch(m_prefix, m_revision, next_wait(), cancel);
    m_waiting = nullptr;
    if (!changes && cancel.cancelled()) {
        return true; // the next watch goes on from the same revision, on a new connection
    }
    if (!changes && changes.error().kind == error_kind::stale_version) {
        m_log.write(log_weight::state, "store_history_gone", {{"prefix", m_prefix}});
        m_listed = false;
        return true;
    }
    if (!changes) {
        note_failure(changes.error());
        return false;
    }
    note_answer();
    m_revision = std::max(m_revision, changes.value().revision);
    if (changes.value().items.empty()) {
        return true;
    }
    for (const auto& item : changes.value().items) {
        m_lag.know(item.revision);
    }
    m_on_changes(changes.value().items);
    boost::this_fiber::sleep_for(m_pace.pause);
    return true;
}

void store_follower::hear_of(std::uint64_t change, time_point now)
{
    if (m_waiting == nullptr || !m_lag.hear(change, now)) {
        return;
    }
    m_log.write(log_weight::state, "watch_renewed",
                {{"prefix", m_prefix},
                 {"known", static_cast<std::int64_t>(m_lag.known())},
                 {"told", static_cast<std::int64_t>(change)}});
    m_waiting->cancel();
}

std::chrono::milliseconds store_follower::next_wait()
{
    const auto longest = std::max(m_pace.longest_wait, least_wait);
    std::uniform_int_distribution<std::int64_t> pick(least_wait.count(), longest.count());
    return std::chrono::milliseconds(pick(m_random));
}

void store_follower::note_failure(const error& reason)
{
    m_contact.failed_at = boot_clock::now();
    if (!std::exchange(m_contact.lost, true)) {
        m_log.write(log_weight::state, "store_lost", {{"prefix", m_prefix}, {"reason", reason.message}});
    }
}

void store_follower::note_answer()
{
    if (std::exchange(m_contact.lost, false)) {
        m_log.write(log_weight::state, "store_regained", {{"prefix", m_prefix}});
    }
}

} // namespace cardamomstream
