/// Value types for the upstreams and the other VMs known to a VM.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/process/deployment/evacuation.h"
#include "cardamomstream/process/deployment/store_types.h"
#include "cardamomstream/version/service_plan/service_plan.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomstream {

/// An upstream as described by its own entry in the store.
struct upstream_record {
    upstream_name id;
    pool_name service;
    endpoint address;
    data_centre_name data_centre;
    std::uint32_t slots = 1;
    std::string version; ///< of its software; streams of two versions don't fit together
    bool leaving = false;
    std::chrono::milliseconds cold_left{0};             ///< remaining cold time when the record was written
    std::optional<std::chrono::milliseconds> leaves_in; ///< set when it shuts down at short notice
    std::int64_t started_unix_ms = 0; ///< differs after a restart under the same id; 0: unknown
};

/// An upstream that may receive new requests.
struct upstream_view {
    upstream_record record;
    region_name region;
    time_point cold_until; ///< its request rate is limited until then
};

/// Software versions of the upstreams of each service.
using service_versions = std::map<pool_name, std::set<std::string>>;

/// Immutable snapshot that the control thread publishes to the traffic threads.
struct deployment_view {
    std::shared_ptr<const service_plan> plan; ///< null until the first plan is known
    std::vector<upstream_view> upstreams;     ///< neither leaving nor in an evacuated data centre
    service_versions versions;                ///< of all upstreams that are listed
    evacuations evacuated;
};

/// Load that one VM has placed on one upstream.
struct upstream_load {
    upstream_name upstream;
    std::uint32_t running = 0; ///< requests sent and not yet finished
    /// Predicted prompt processing time left, of requests without a first event.
    std::chrono::milliseconds prefill_left{0};
    token_count memory_tokens = 0;        ///< engine memory that the requests may use
    std::vector<std::uint64_t> new_parts; ///< shared prompt parts sent there since the last report
};

/// Request limit that an upstream stated to one VM.
struct stated_limit {
    upstream_name upstream;
    std::int64_t started_unix_ms = 0;          ///< of the upstream's process
    std::optional<double> requests_per_second; ///< from all VMs together; empty: no longer limited
    std::chrono::milliseconds age{0};          ///< of the answer, when the report was made
};

/// How long work takes at an upstream that shares its machine, as it stated to one VM.
struct stated_work {
    upstream_name upstream;
    std::int64_t started_unix_ms = 0; ///< of the upstream's process
    std::uint32_t percent = 100;      ///< of the usual time
    std::chrono::milliseconds age{0}; ///< of the answer, when the report was made
};

/// End of an upstream's process, as one VM has seen it.
struct upstream_end {
    upstream_name upstream;
    std::int64_t started_unix_ms = 0; ///< of the process that was listed then
    std::chrono::milliseconds age{0}; ///< when the report was made
};

/// What ends of upstreams are counted for.
enum class crash_subject : std::uint8_t {
    prompt_part, ///< shared by the prompts of many requests
    request,     ///< one path, caller and body
};

/// An upstream that ended under a request of this subject.
struct part_crash {
    std::uint64_t part = 0;
    std::uint64_t observer = 0; ///< the VM that saw it, by a hash of its address
    upstream_name upstream;
    std::int64_t started_unix_ms = 0; ///< of the upstream's process
    // When the report was made:
    std::chrono::milliseconds sent_age{0};  ///< since the request was sent
    std::chrono::milliseconds ended_age{0}; ///< since the process ended
    /// 0: the process has ended. Otherwise only the connection is known to have, and this distinguishes the
    /// send from others.
    std::uint64_t broken_send = 0;
    crash_subject subject = crash_subject::prompt_part;
};

/// An answer to a request of this subject.
struct part_success {
    std::uint64_t part = 0;
    std::chrono::milliseconds age{0}; ///< when the report was made
    crash_subject subject = crash_subject::prompt_part;
};

/// A request of a suspected subject that a VM sends, or is about to, as the only one of the fleet.
struct part_trial {
    std::uint64_t part = 0;
    std::uint64_t vm = 0;             ///< by a hash of its address
    std::chrono::milliseconds age{0}; ///< since it was announced, when the report was made
    crash_subject subject = crash_subject::prompt_part;
};

/// Streams that began at upstreams of one software version.
struct reported_origins {
    pool_name service;
    std::string version;
    std::vector<std::uint64_t> attempts; ///< hashes of the ids of the callers' attempts
    std::chrono::milliseconds age{0};    ///< of the youngest stream, when the report was made
};

/// A software version of a service's upstreams, as one VM knows it.
struct known_version {
    pool_name service;
    std::string version;
    std::chrono::milliseconds age{0}; ///< since it was last listed, when the report was made
};

/// Asks another VM where streams began.
struct origin_query {
    store_position known_from; ///< position from which the asking VM knows the list of upstreams
};

/// Where streams began, as one VM knows it.
struct origin_knowledge {
    store_position read_up_to;               ///< position up to which the VM knows the list of upstreams
    std::chrono::milliseconds list_known{0}; ///< for how long it has known the list without a gap
    std::vector<known_version> versions;     ///< listed in that time
    std::vector<reported_origins> streams;   ///< of services with several of these versions
};

/// How much later the first bytes of a service arrived than predicted from the loads, in the reporting VM's
/// region.
struct lateness_sample {
    pool_name service;
    int urgency = 0; ///< engines start the most urgent requests first, so others wait longer
    std::chrono::milliseconds mean{0};
    std::uint32_t samples = 0; ///< first bytes since the last report
};

/// Tokens (or requests) that one VM has admitted for a customer since the VM started, minus those of
/// requests that did not run.
struct customer_use {
    customer_name customer;
    double admitted = 0;
};

/// A VM as listed in the summary of its data centre.
struct vm_member {
    endpoint inner; ///< where other VMs connect
    endpoint entry; ///< where callers connect
    bool ready = false;
    bool links_lost = false; ///< to the upstreams of its region
    /// How many callers it bears, compared with other VMs; 0: unknown.
    std::uint32_t capacity = 0;
    friend bool operator==(const vm_member&, const vm_member&) = default;
};

/// Additional part of a report that summarises all VMs of a data centre.
struct data_centre_summary_part {
    std::vector<vm_member> members; ///< live VMs, including the sender
    std::uint32_t sharers = 0;      ///< VMs that reported within `vm_expiry_time`, including the sender
    std::uint32_t store_readers = 0;
    std::uint32_t store_readers_failing = 0;
    bool relayed = false; ///< already forwarded within the receiving data centre
};

/// State that a VM sends to the others several times a second.
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
    bool links_lost = false;    ///< to the upstreams of its region
    std::uint32_t capacity = 0; ///< as in `vm_member`
    version_number plan_version = 0;
    /// Inner addresses in the receiver's data centre, so that VMs discover each other.
    std::vector<endpoint> known_vms;
    /// Inner addresses in the other data centres, some of each, for a receiver that knows no VM there.
    std::vector<endpoint> known_elsewhere;
    /// Set when `loads`, `uses`, `lateness`, `limits`, `works`, `upstream_ends` and what is known of prompt
    /// parts cover all VMs of the data centre.
    std::optional<data_centre_summary_part> summary;
    bool asks_for_members = false; ///< asks the receiver which VMs of the sender's data centre it knows
    bool reads_store = false;      ///< the VM watches the store itself
    /// VMs on larger machines are the first to read the store; false in reports of earlier versions.
    bool ranks_readers_by_capacity = false;
    std::vector<upstream_load> loads;
    std::vector<customer_use> uses;
    std::vector<lateness_sample> lateness;
    std::vector<stated_limit> limits;
    std::vector<stated_work> works;
    std::vector<upstream_end> upstream_ends;  ///< lately seen
    std::vector<part_crash> part_crashes;     ///< those that all VMs of the fleet should know
    std::vector<part_success> part_successes; ///< of parts that other VMs may suspect
    std::vector<part_trial> part_trials;
    std::vector<reported_origins> stream_origins; ///< begun lately; while several versions are known
    std::vector<store_position> known_changes;    ///< newest change known in each `store_part`
    /// Since the store itself last confirmed the operator's entries to the VM, when the report was made. In a
    /// summary, the least of its VMs.
    std::optional<std::chrono::milliseconds> store_answer_age;
    bool store_failing = false; ///< the store has recently failed to answer this VM
    /// Position up to which each `store_part` is known, of the same era as the newest change.
    std::vector<store_position> read_up_to;
    /// Position of the listing with which the VM began to read each `store_part`. It may not know of changes
    /// before it, such as the removal of an entry.
    std::vector<store_position> read_from;
    std::optional<store_changes> changes; ///< store changes that the VM has just read
    std::optional<origin_query> asks_for_origins;
    std::optional<origin_knowledge> origins; ///< set in an answer, which holds nothing else of a report
};

} // namespace cardamomstream
