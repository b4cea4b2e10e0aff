/// What VMs tell each other about themselves, as plain values.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cardamomstream {

/// Orders what is said under one VM name; the greatest is in force.
///
/// Incarnations are random, so they can't order a process and its predecessor. `generation` does: it starts
/// at 1, and a process that sees its own name with another incarnation and a generation not below its own
/// goes above that one. Of two processes that both live, the one with the lower incarnation gives way (see
/// `member_table::name_taken`).
struct heartbeat_stamp {
    std::uint32_t generation = 1;
    incarnation process;
    std::uint64_t counter = 0;
    // The check takes the zero inside the generated comparison for a pointer.
    friend auto operator<=>(const heartbeat_stamp&,
                            const heartbeat_stamp&) = default; // NOLINT(modernize-use-nullptr)
};

/// Load of one upstream pool in one region.
struct pool_load {
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    friend bool operator==(const pool_load&, const pool_load&) = default;
};

/// What a VM could lend of one customer's allowance, and what it is short of.
struct allowance_report {
    customer_name customer;
    token_rate spare_rate;
    double spare_burst = 0; ///< tokens
    token_count spare_level = 0;
    token_rate wanted_rate;
};

/// The process to which a stopping VM has handed its tickets.
struct named_successor {
    vm_name vm;
    incarnation process;
    friend bool operator==(const named_successor&, const named_successor&) = default;
};

/// What a VM says about itself; full within a data centre.
struct heartbeat {
    vm_name vm;
    heartbeat_stamp stamp;
    version_number applied_version = 0;        ///< of the rules
    std::chrono::milliseconds confirmed_age{}; ///< since the service was last known to hold no newer version
    bool leaving = false;
    std::optional<named_successor> successor; ///< set once tickets were handed over
    std::map<pool_name, pool_load> loads;     ///< own share of the pools of the VM's region
    std::vector<allowance_report> allowance;  ///< at most `max_allowance_reports`
};

/// One VM inside a summary.
struct member_record {
    vm_name vm;
    heartbeat_stamp stamp;
    version_number applied_version = 0;
    bool leaving = false;
    std::optional<named_successor> successor;
};

/// What one delegate says about its data centre. Passed on from VM to VM unchanged.
struct data_centre_summary {
    region_name region;
    data_centre_name data_centre;
    vm_name origin;                       ///< the delegate that made it
    heartbeat_stamp stamp;                ///< of the origin; grows with each summary
    version_number lowest_version = 0;    ///< every member in the digest has applied at least this
    std::uint64_t members_digest = 0;     ///< over names, incarnations, leaving flags and successors
    std::vector<member_record> members;   ///< empty: as last sent under this digest
    std::map<pool_name, pool_load> loads; ///< sum over the data centre; empty: as last sent
};

/// One message from VM to VM.
struct membership_message {
    heartbeat sender;
    /// Greatest stamp that the sender holds for the receiver's name, so that a restarted VM learns of its
    /// predecessor's stamp.
    std::optional<heartbeat_stamp> about_receiver;
    std::vector<data_centre_summary> summaries;
    std::vector<data_centre_name> wanted_members; ///< send the members of these data centres next time
};

/// A message that is to be sent.
struct heartbeat_target {
    vm_name vm;
    endpoint address; ///< the peer endpoint from the list
    membership_message message;
};

} // namespace cardamomstream
