/// Plain values of what a VM knows of the upstreams and of the other VMs.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/process/deployment/evacuation.h"
#include "cardamomstream/process/deployment/store_types.h"
#include "cardamomstream/version/service_plan/service_plan.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cardamomstream {

/// An upstream as it describes itself.
struct upstream_record {
    upstream_name id;
    pool_name service;
    endpoint address;
    data_centre_name data_centre;
    std::uint32_t slots = 1;
    bool leaving = false;
    std::chrono::milliseconds cold_left{0};             ///< when the record was written
    std::optional<std::chrono::milliseconds> leaves_in; ///< set when it leaves at short notice
    std::int64_t started_unix_ms = 0;                   ///< tells a restart under the same id; 0: unknown
};

/// An upstream that may get new requests.
struct upstream_view {
    upstream_record record;
    region_name region;
    time_point cold_until; ///< rate of requests is bounded until then
};

/// What the control thread publishes to the traffic threads. Immutable.
struct deployment_view {
    std::shared_ptr<const service_plan> plan; ///< null until the first plan is known
    std::vector<upstream_view> upstreams;     ///< neither leaving nor in an evacuated data centre
    evacuations evacuated;
};

/// Load that one VM has put on one upstream.
struct upstream_load {
    upstream_name upstream;
    std::uint32_t running = 0;                 ///< requests sent and not ended
    std::chrono::milliseconds prefill_left{0}; ///< of prompts whose first event has not come, as predicted
    token_count memory_tokens = 0;             ///< engine memory that the requests may take
    std::vector<std::uint64_t> new_parts;      ///< shared prompt parts sent there since the last report
};

/// By how much first bytes of a service came later than the loads explained, in the region of the VM that
/// tells.
struct lateness_sample {
    pool_name service;
    int urgency = 0; ///< engines begin with the most urgent requests, so the others wait longer
    std::chrono::milliseconds mean{0};
    std::uint32_t samples = 0; ///< first bytes since the last report
};

/// Tokens (or requests) that one VM has admitted for a customer since its start, less those of requests that
/// did not run.
struct customer_use {
    customer_name customer;
    double admitted = 0;
};

/// A VM of another data centre, as a VM there tells of it.
struct vm_member {
    endpoint inner; ///< where other VMs connect
    endpoint entry; ///< where callers connect
    bool ready = false;
    friend bool operator==(const vm_member&, const vm_member&) = default;
};

/// What a report says beside its sums when it speaks for all VMs of a data centre.
struct data_centre_summary_part {
    std::vector<vm_member> members; ///< alive, the VM that tells among them
    std::uint32_t sharers = 0;      ///< VMs heard within `vm_forget_limit`, the VM that tells among them
    std::uint32_t store_readers = 0;
    std::uint32_t store_readers_failing = 0;
    bool relayed = false; ///< passed on inside the data centre that receives it
};

/// What a VM tells the others several times a second.
struct vm_report {
    vm_name vm;
    incarnation process;
    std::uint64_t sequence = 0;
    region_name region;
    data_centre_name data_centre;
    endpoint entry; ///< where callers connect
    endpoint inner; ///< where other VMs connect
    bool ready = false;
    bool leaving = false;
    version_number plan_version = 0;
    std::vector<endpoint>
        known_vms; ///< inner addresses in the receiver's data centre, so that VMs find each other
    std::vector<endpoint>
        known_elsewhere; ///< some of each other data centre, for a receiver that has heard of none there
    /// Set when `loads`, `uses` and `lateness` are sums over all VMs of the data centre.
    std::optional<data_centre_summary_part> summary;
    bool asks_for_members = false; ///< the VM wants to be told which VMs of its data centre are known
    bool reads_store = false;      ///< the VM watches the store itself
    std::vector<upstream_load> loads;
    std::vector<customer_use> uses;
    std::vector<lateness_sample> lateness;
    std::vector<std::uint64_t> known_changes; ///< newest change known under each followed part of the store
    bool store_failing = false;               ///< the store has not answered this VM a moment ago
    std::vector<std::uint64_t> read_up_to;    ///< revision of the store up to which each part is known
    std::optional<store_changes> changes;     ///< that the VM has just read
};

} // namespace cardamomstream
