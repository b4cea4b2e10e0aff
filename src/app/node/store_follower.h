/// Follows the part of the platform's store under one prefix.
#pragma once

#include "platform/store_client.h"

#include "cardamomstream/process/decision_log.h"
#include "cardamomstream/process/deployment/change_lag.h"

#include <functional>
#include <random>
#include <string>

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

/// Lists once, then watches, in a fiber of the control thread. Lists again when the store has dropped the
/// history that the watch asks for.
class store_follower {
public:
    using listing_action = std::function<void(const platform::store_batch&)>;
    using change_action = std::function<void(const std::vector<platform::store_item>&)>;

    /// All must outlive the follower; `on_listing` and `on_changes` run in its fiber.
    store_follower(std::string prefix, platform::store_client& store, store_contact& contact,
                   decision_log& log, std::uint64_t seed);

    void on_listing(listing_action action) { m_on_listing = std::move(action); }
    void on_changes(change_action action) { m_on_changes = std::move(action); }

    /// Body of the fiber; never returns.
    void run();

    void set_pace(const watch_pace& pace) { m_pace = pace; }

    /// Another VM knows of this change.
    void hear_of(std::uint64_t change, time_point now);

    std::uint64_t newest_change() const noexcept { return m_lag.known(); }

private:
    bool list();
    bool watch();
    void note_failure(const error& reason);
    void note_answer();
    std::chrono::milliseconds next_wait();

    std::string m_prefix;
    platform::store_client& m_store;
    store_contact& m_contact;
    decision_log& m_log;
    std::mt19937_64 m_random;
    listing_action m_on_listing;
    change_action m_on_changes;
    change_lag m_lag;
    cancellation* m_waiting = nullptr; ///< ends the watch under way
    std::uint64_t m_revision = 0;      ///< of the store; the next watch goes on from here
    bool m_listed = false;
    watch_pace m_pace;
};

} // namespace cardamomstream
