/// Immutable snapshot of the fleet that the control thread publishes to the traffic threads.
#pragma once

#include "cardamomstream/core/core_types.h"
#include "cardamomstream/process/heartbeat_types.h"
#include "cardamomstream/version/key_index.h"
#include "cardamomstream/version/rules_types.h"
#include "cardamomstream/version/vm_list_types.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace cardamomstream {

/// Another VM as known to this one.
struct vm_contact {
    region_name region;
    endpoint entry;
    endpoint peer;
    bool listed = false;    ///< in the platform's VM list
    bool usable = false;    ///< may receive new work
    bool suspected = false; ///< a new connection to it has failed
    std::optional<incarnation> process;
    std::optional<named_successor> successor;
};

struct fleet_view {
    rules_snapshot rules;
    key_index_snapshot keys;
    vm_list_snapshot list;
    std::map<vm_name, vm_contact> vms; ///< this VM excluded
    bool confirmed = false; ///< the version in force was confirmed since the start or the last pause
};

using fleet_view_snapshot = std::shared_ptr<const fleet_view>;

/// Holds the current view. Thread-safe.
class view_holder {
public:
    /// Never null.
    fleet_view_snapshot load() const;

    /// Publishes a view, then notifies the subscribers on the calling thread.
    void store(fleet_view_snapshot view);

    /// Registers `notify`, which runs after each change, on the control thread. Subscribe before the first
    /// `store`.
    void subscribe(std::function<void()> notify);

private:
    mutable std::mutex m_mutex;
    fleet_view_snapshot m_view = std::make_shared<const fleet_view>();
    std::vector<std::function<void()>> m_subscribers;
};

} // namespace cardamomstream
