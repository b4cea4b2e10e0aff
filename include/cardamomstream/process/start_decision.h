/// Start-up of a VM: before it serves, it asks the service and its peers for the version in force.
#pragma once

#include "cardamomstream/process/configuration_types.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cardamomstream {

struct start_settings {
    /// Time to wait for all answers before the best version known so far is used.
    std::chrono::milliseconds answer_timeout{1'500};
};

/// Answers are missing: ask the sources that have not answered yet; call `next` again at `until`.
struct start_wait {
    time_point until;
};

/// The service holds the highest version known: take it from there.
struct take_from_service {
    version_id id;
};

/// A peer holds the highest version known (the service is down, or its answer is stale).
struct take_from_peer {
    vm_name vm;
    version_id id;
};

/// The highest version known is held here: serve.
struct start_serving {
    version_id id;
};

using start_step = std::variant<start_wait, take_from_service, take_from_peer, start_serving>;

/// Collects answers and selects the next step. The VM serves only once it holds a version that no answer
/// exceeds. Without any version it waits forever: without rules it cannot authenticate callers.
class start_decision {
public:
    /// `peers`: VMs of the list to ask, not including this one; a bounded number is enough.
    start_decision(start_settings settings, const std::vector<vm_name>& peers, time_point now);

    /// nullopt: the service holds no version.
    void service_answered(const std::optional<version_id>& id);
    void service_failed();
    /// nullopt: the peer is starting as well and holds no version.
    void peer_answered(const vm_name& vm, const std::optional<version_id>& id);
    void peer_failed(const vm_name& vm);
    /// The text of the version was refused here; the next best version is considered. (For a peer that
    /// fails to deliver it, call `peer_failed`.)
    void mark_unusable(const version_id& id);

    start_step next(const std::optional<version_id>& held, time_point now) const;

private:
    enum class answer_state { awaited, answered, failed };
    struct source {
        answer_state state = answer_state::awaited;
        std::optional<version_id> id;
    };

    bool all_answered() const;

    start_settings m_settings;
    time_point m_deadline;
    source m_service;
    std::map<vm_name, source> m_peers;
    std::set<version_id> m_unusable;
};

} // namespace cardamomstream
