#include "store_follower.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/operations.hpp>

namespace cardamomstream {

namespace {

/// Watches of different VMs end at different times, so that in a large fleet some VM soon notices a store
/// that has gone silent.
constexpr std::chrono::milliseconds least_wait{1'500};

/// Of a watch for something that other VMs know of already.
constexpr std::chrono::milliseconds question_wait{200};

/// Of a call that only shows whether something has changed.
constexpr std::chrono::milliseconds confirmation_wait{1};
constexpr std::chrono::milliseconds confirmation_poll{5};

/// The VMs that take what others read list a restored store within this time, not all at once.
constexpr std::chrono::milliseconds restored_listing_spread{800};

/// A VM that reads the store and has not reported for longer may have lost it.
constexpr std::chrono::milliseconds peer_silence_limit{1'500};

constexpr std::chrono::milliseconds first_retry{100};
constexpr std::chrono::milliseconds longest_retry{1'000};

/// Revision 0 when there are no items.
store_position newest_of(std::uint64_t era, const std::vector<store_item>& items)
{
    store_position newest{era, 0};
    for (const auto& item : items) {
        newest.revision = std::max(newest.revision, item.revision);
    }
    return newest;
}

} // namespace

store_follower::store_follower(store_part part, std::string prefix, platform::store_client& store,
                               store_contact& contact, decision_log& log, std::uint64_t seed)
    : m_part(part)
    , m_prefix(std::move(prefix))
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
        if (m_listed) {
            await_question();
        }
        if (m_listed && behind_era()) {
            if (!m_reads) {
                std::uniform_int_distribution<std::int64_t> pick(0, restored_listing_spread.count());
                boost::this_fiber::sleep_for(std::chrono::milliseconds(pick(m_random)));
            }
            m_listed = false;
        }
        if (m_listed ? watch() : list()) {
            retry = first_retry;
            continue;
        }
        boost::this_fiber::sleep_for(retry);
        retry = std::min(retry * 2, longest_retry);
    }
}

void store_follower::await_question()
{
    std::unique_lock lock(m_mutex);
    m_wanted.wait(lock, [this] { return m_reads || m_asked; });
    m_asked = false;
}

void store_follower::set_reads(bool reads)
{
    if (std::exchange(m_reads, reads) == reads) {
        return;
    }
    m_log.write(log_weight::state, reads ? "store_reading_began" : "store_reading_ended",
                {{"prefix", m_prefix}});
    if (reads) {
        if (boot_clock::now() - m_confirmed_at >= peer_silence_limit) {
            m_known_since.reset();
        }
        m_wanted.notify_all();
    }
}

bool store_follower::confirm(std::chrono::milliseconds limit)
{
    const auto began = boot_clock::now();
    const auto until = began + limit;
    if (!m_listed) {
        return false;
    }
    cancellation cancel;
    const auto missing = m_store.watch(m_prefix, m_lag.known().revision, confirmation_wait, cancel);
    if (!missing) {
        m_log.write(log_weight::failure, "store_unconfirmed",
                    {{"prefix", m_prefix}, {"reason", missing.error().message}});
        return false;
    }
    if (!check_era(missing.value().position)) {
        want_watch();
        return false;
    }
    if (missing.value().items.empty()) {
        m_lag.record_known(missing.value().position);
    }
    const auto newest = newest_of(missing.value().position.era, missing.value().items);
    // The watch brings these changes: applied here as well, an older one might follow a newer one.
    while (m_lag.known() < newest && boot_clock::now() < until) {
        want_watch();
        boost::this_fiber::sleep_for(confirmation_poll);
    }
    if (!m_listed || m_lag.known() < newest) {
        return false;
    }
    m_answered_at = std::max(m_answered_at, began);
    return true;
}

void store_follower::take(store_changes changes)
{
    note_era(changes.up_to.era);
    if (!m_listed || behind_era() || !m_lag.accept_changes(changes)) {
        return; // a listing brings it, or the store is asked when it stays missing
    }
    note_confirmed(boot_clock::now());
    if (!changes.items.empty()) {
        m_newest_change = std::max(m_newest_change, newest_of(changes.up_to.era, changes.items));
        note_applied(changes);
        m_on_changes(changes);
    }
}

void store_follower::note_applied(const store_changes& changes)
{
    m_keys.apply(changes);
    m_recent.add(changes, boot_clock::now());
}

/// Tells the VMs for which this one reads.
void store_follower::tell(const store_changes& changes)
{
    if (m_reads && !changes.items.empty()) {
        m_on_read(m_recent.repeated(changes, boot_clock::now()));
    }
}

bool store_follower::list()
{
    cancellation cancel;
    const auto began = boot_clock::now();
    auto all = m_store.list(m_prefix, cancel);
    if (!all) {
        note_failure(all.error());
        return false;
    }
    note_answer(all.value());
    if (all.value().position.era < m_newest_era) {
        log_outdated(all.value().position);
        return false;
    }
    m_answered_at = std::max(m_answered_at, began);
    apply_listing(std::move(all.value()));
    return true;
}

void store_follower::apply_listing(store_batch all)
{
    const auto before = m_lag.known();
    const bool listed_before = before.revision > 0; // the store's revisions start above 0
    all.restored = listed_before && all.position.era > before.era;
    m_newest_era = all.position.era;
    if (all.restored) {
        m_log.write(log_weight::state, "store_restored",
                    {{"prefix", m_prefix},
                     {"era", static_cast<std::int64_t>(before.era)},
                     {"revision", static_cast<std::int64_t>(before.revision)},
                     {"new_era", static_cast<std::int64_t>(all.position.era)},
                     {"new_revision", static_cast<std::int64_t>(all.position.revision)},
                     {"reads", std::int64_t{m_reads ? 1 : 0}}});
    }
    const auto changes = m_keys.replace(m_part, all, std::max(m_newest_change, m_listed_at), before);
    if (listed_before && !all.restored && all.unreadable_items == 0) {
        tell(changes);
        m_recent.add(changes, boot_clock::now());
        m_newest_change = std::max(m_newest_change, newest_of(all.position.era, changes.items));
    }
    else {
        m_listed_at = all.position; // of what was removed before, this VM may know nothing
    }
    m_lag.record_known(all.position);
    m_newest_change = std::max(m_newest_change, newest_of(all.position.era, all.items));
    m_listed = true;
    m_on_listing(all);
}

/// False for an answer of another era than the one that is followed: of a newer one a listing is due, and an
/// older one is passed over.
bool store_follower::check_era(const store_position& answer)
{
    const auto known = m_lag.known();
    if (answer.era == known.era) {
        return true;
    }
    note_era(answer.era);
    if (answer.era < m_newest_era) {
        log_outdated(answer);
    }
    return false;
}

void store_follower::log_outdated(const store_position& answer)
{
    m_log.write(log_weight::state, "store_answer_outdated",
                {{"prefix", m_prefix},
                 {"era", static_cast<std::int64_t>(answer.era)},
                 {"revision", static_cast<std::int64_t>(answer.revision)},
                 {"newest_era", static_cast<std::int64_t>(m_newest_era)}});
}

/// Lets the store be listed anew when this era is newer than the one that is followed.
void store_follower::note_era(std::uint64_t era)
{
    if (era <= m_newest_era) {
        return;
    }
    if (!behind_era()) {
        m_newer_era_since = boot_clock::now();
    }
    m_newest_era = era;
    if (m_waiting != nullptr) {
        m_waiting->cancel();
    }
    want_watch();
}

bool store_follower::watch()
{
    cancellation cancel;
    m_waiting = &cancel;
    const auto wait = m_reads ? next_wait() : question_wait;
    const auto began = boot_clock::now();
    auto changes = m_store.watch(m_prefix, m_lag.known().revision, wait, cancel);
    m_waiting = nullptr;
    if (!changes && cancel.cancelled()) {
        return true; // the next watch goes on from the same revision, on a new connection
    }
    if (!changes && changes.error().kind == error_kind::stale_version) {
        m_log.write(log_weight::state, "store_history_gone",
                    {{"prefix", m_prefix}, {"reason", changes.error().message}});
        m_listed = false;
        return true;
    }
    if (!changes) {
        note_failure(changes.error());
        return false;
    }
    note_answer(changes.value());
    const auto& position = changes.value().position;
    if (!check_era(position)) {
        return behind_era();
    }
    // Before the last listing, changes may be unknown to this VM that others have missed.
    const auto after = std::max(m_newest_change, m_listed_at);
    m_lag.record_known(position);
    // The process may have stood still since the store answered.
    m_answered_at = std::max(m_answered_at, std::min(boot_clock::now(), began + wait));
    if (changes.value().items.empty()) {
        return true;
    }
    store_changes read{m_part, after, position, false, std::move(changes.value().items)};
    m_newest_change = std::max(m_newest_change, newest_of(position.era, read.items));
    tell(read);
    note_applied(read);
    m_on_changes(read);
    boost::this_fiber::sleep_for(m_pace.pause);
    return true;
}

void store_follower::record_peer(store_position change, const std::optional<peer_reading>& reading,
                                 time_point now)
{
    note_era(change.era);
    if (!m_listed || change.era != m_lag.known().era) {
        return;
    }
    // A removal leaves no trace in a listing: the reader may not know of one that came before it.
    const auto needed = reading ? std::max(change, reading->from) : change;
    if (reading && needed <= m_lag.known()) {
        m_lag.record_known(reading->up_to); // no change lies between
        note_confirmed(now);
    }
    if (!m_lag.record_peer_change(needed, now)) {
        return;
    }
    m_log.write(log_weight::state, "watch_renewed",
                {{"prefix", m_prefix},
                 {"known", static_cast<std::int64_t>(m_lag.known().revision)},
                 {"told", static_cast<std::int64_t>(needed.revision)}});
    if (m_waiting != nullptr) {
        m_waiting->cancel();
        return;
    }
    want_watch();
}

/// Lets a VM that takes what others read ask the store once.
void store_follower::want_watch()
{
    m_asked = true;
    m_wanted.notify_all();
}

std::chrono::milliseconds store_follower::next_wait()
{
    const auto longest = std::max(m_pace.longest_wait, least_wait);
    std::uniform_int_distribution<std::int64_t> pick(least_wait.count(), longest.count());
    return std::chrono::milliseconds(pick(m_random));
}

std::optional<time_point> store_follower::known_since(time_point now) const
{
    const bool current = m_reads ? m_answered : now - m_confirmed_at < peer_silence_limit;
    return m_listed && current ? m_known_since : std::nullopt;
}

/// What is known was compared with what another VM has read.
void store_follower::note_confirmed(time_point now)
{
    if (!m_known_since || now - m_confirmed_at >= peer_silence_limit) {
        m_known_since = now;
    }
    m_confirmed_at = now;
}

void store_follower::note_failure(const error& reason)
{
    m_contact.failed_at = boot_clock::now();
    m_answered = false;
    m_known_since.reset();
    if (!std::exchange(m_contact.lost, true)) {
        m_log.write(log_weight::state, "store_lost", {{"prefix", m_prefix}, {"reason", reason.message}});
    }
}

void store_follower::note_answer(const store_batch& answer)
{
    const auto now = boot_clock::now();
    m_known_since = m_answered && m_known_since ? m_known_since : now;
    m_answered = true;
    m_confirmed_at = now;
    if (std::exchange(m_contact.lost, false)) {
        m_log.write(log_weight::state, "store_regained", {{"prefix", m_prefix}});
    }
    if (answer.unreadable_items > 0) {
        m_log.write(log_weight::state, "store_items_unreadable",
                    {{"prefix", m_prefix}, {"items", static_cast<std::int64_t>(answer.unreadable_items)}});
    }
}

} // namespace cardamomstream
