/// Follows the part of the platform's store under one prefix.
#pragma once

#include "platform/store_client.h"

#include "cardamomstream/process/decision_log.h"
#include "cardamomstream/process/deployment/change_lag.h"
#include "cardamomstream/process/deployment/recent_changes.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace cardamomstream {

/// State of the store as its calls show it, shared by all followers of one VM.
struct store_contact {
    bool lost = false;
    time_point failed_at; ///< of the last call that failed; epoch: never
};

/// How often the store is called.
struct watch_pace {
    /// Of one watch. A watch whose connection went silent is noticed after it, or when the other VMs tell of
    /// a change.
    std::chrono::milliseconds longest_wait{0};
    /// Between an answer and the next watch: changes that come together cost one call.
    std::chrono::milliseconds pause{0};
};

/// Lists once, then watches or takes what other VMs have read, in a fiber of the control thread. Lists again
/// when the store has dropped the history that the watch asks for, or was restored from an older copy.
class store_follower {
public:
    using listing_action = std::function<void(const store_batch&)>;
    using change_action = std::function<void(const store_changes&)>;

    /// All must outlive the follower; `on_listing` and `on_changes` run in its fiber.
    store_follower(store_part part, std::string prefix, platform::store_client& store, store_contact& contact,
                   decision_log& log, std::uint64_t seed);

    /// `on_read` gets what this VM has read of the store while it reads for others, with what it has read
    /// shortly before, in advance of `on_changes` and `on_listing`.
    void on_read(change_action action) { m_on_read = std::move(action); }
    void on_listing(listing_action action) { m_on_listing = std::move(action); }
    void on_changes(change_action action) { m_on_changes = std::move(action); }

    /// Body of the fiber; never returns.
    void run();

    void set_pace(const watch_pace& pace) { m_pace = pace; }

    /// True: watches the store. False: takes what other VMs read, and asks the store when something is
    /// missing.
    void set_reads(bool reads);

    /// Asks the store for changes that are missing, and waits until they have been applied. True when this
    /// part is then known as it was after the call had begun; false if the store doesn't answer in time.
    bool confirm(std::chrono::milliseconds limit);

    /// What another VM of the data centre has read.
    void take(store_changes changes);

    /// What another VM of the data centre knows of this part by reading it.
    struct peer_reading {
        store_position from;  ///< of its listing: it may not know of changes before it
        store_position up_to; ///< all changes between the two are known to it
    };

    /// Another VM knows of this change; `reading` is set for one that reads the store.
    void record_peer(store_position change, const std::optional<peer_reading>& reading, time_point now);

    /// True while this VM reads for others and the store answers.
    bool answered() const noexcept { return m_reads && m_answered; }

    /// Position of the store up to which this part is known.
    store_position read_up_to() const noexcept { return m_lag.known(); }

    /// Position of the listing with which this VM began to know the part in its present era.
    store_position read_from() const noexcept { return m_listed_at; }

    /// Since when this VM has known of a change, or of a restored store, that it hasn't read; empty: of none.
    std::optional<time_point> behind_since() const
    {
        const auto missed = m_lag.behind_since();
        return behind_era() ? std::min(m_newer_era_since, missed.value_or(m_newer_era_since)) : missed;
    }

    store_position newest_change() const noexcept { return m_newest_change; }

    /// When the store itself last confirmed this part to this VM, unlike `confirmed_at`; epoch: never.
    time_point answered_at() const noexcept { return m_answered_at; }

    /// When this part was last known to be up to date; epoch: never.
    time_point confirmed_at() const noexcept { return m_confirmed_at; }

    /// Since when changes are known as they are made, as far as this VM can tell. Empty while the store isn't
    /// read, by this VM or by the one that reads for it.
    std::optional<time_point> known_since(time_point now) const;

private:
    bool list();
    bool watch();
    bool check_era(const store_position& answer);
    void log_outdated(const store_position& answer);
    bool behind_era() const noexcept { return m_newest_era > m_lag.known().era; }
    void note_era(std::uint64_t era);
    void apply_listing(store_batch all);
    void note_applied(const store_changes& changes);
    void tell(const store_changes& changes);
    void want_watch();
    void await_question();
    void note_confirmed(time_point now);
    void note_failure(const error& reason);
    void note_answer(const store_batch& answer);
    std::chrono::milliseconds next_wait();

    store_part m_part;
    std::string m_prefix;
    platform::store_client& m_store;
    store_contact& m_contact;
    decision_log& m_log;
    std::mt19937_64 m_random;
    change_action m_on_read;
    listing_action m_on_listing;
    change_action m_on_changes;
    change_lag m_lag;
    listed_keys m_keys;
    recent_changes m_recent;           ///< applied by this VM
    cancellation* m_waiting = nullptr; ///< ends the watch under way
    store_position m_newest_change;    ///< that this VM knows of
    store_position m_listed_at;
    std::uint64_t m_newest_era = 0; ///< of which this VM has learnt, also from others
    time_point m_newer_era_since;   ///< valid while the newest era isn't the one that is followed
    time_point m_confirmed_at;
    time_point m_answered_at; ///< by the store, of the era that is followed
    std::optional<time_point> m_known_since;
    bool m_listed = false;
    bool m_reads = true;
    bool m_answered = false; ///< the last call
    bool m_asked = false;    ///< one watch is wanted though others read
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_wanted; ///< a call is wanted
    watch_pace m_pace;
};

} // namespace cardamomstream
