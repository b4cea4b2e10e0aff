/// Which VMs exist, which answer, and what they last said.
///
/// The platform's list says who may exist; heartbeats say who answers. A VM that was just listed is usable
/// until it is seen to fail; silence alone never makes it suspected; removal from the list stops new work at
/// once.
#pragma once

#include "cardamomstream/process/heartbeat_types.h"
#include "cardamomstream/process/summary_store.h"
#include "cardamomstream/version/vm_list_types.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace cardamomstream {

enum class member_state {
    listed,    ///< in the list and not heard yet: usable
    alive,     ///< heard, directly or through a summary: usable
    suspected, ///< a new connection to it has failed: no new work until one succeeds or it is heard directly
    leaving,   ///< by its own word or the list's: no new work
    gone,      ///< no longer listed: no new work
};

struct membership_settings {
    std::chrono::milliseconds heartbeat_interval{1'000}; ///< the shortest; stretched by `bytes_per_second`
    std::size_t bytes_per_second = 1'050;     ///< sent by one VM, `message_overhead_bytes` included
    std::size_t message_overhead_bytes = 110; ///< gRPC, TCP and IP around one message
    std::size_t max_summary_bytes = 900;      ///< summaries in a message to another data centre
    std::size_t max_relay_bytes = 500;        ///< summaries in a message within the data centre
    std::size_t max_answer_bytes = 1'500;     ///< member lists for a VM that lacks them
    std::size_t direct_targets = 3;           ///< VMs of the data centre in one round, in turn
    std::uint64_t rounds_per_load = 4;        ///< a summary in so many carries loads
    std::size_t max_allowance_reports = 4;
    std::size_t max_pools_per_summary = 6;
    std::size_t delegates_per_data_centre = 2;
    std::chrono::milliseconds silence_limit{15'000};     ///< then a new connection is to be tried
    std::chrono::milliseconds probe_interval{2'000};     ///< between new connections to a suspected VM
    std::chrono::milliseconds summary_freshness{30'000}; ///< a VM not heard for longer leaves the summary
    std::chrono::milliseconds pause_limit{2'000}; ///< a longer gap between ticks means that the process slept
    std::chrono::milliseconds forget_gone{600'000}; ///< how long a VM that left the list stays known as gone
};

/// What this VM believes about one VM.
struct member {
    region_name region;
    data_centre_name data_centre;
    endpoint entry;
    endpoint peer;
    member_state state = member_state::listed;
    std::optional<heartbeat_stamp> stamp; ///< greatest seen
    version_number applied_version = 0;
    bool leaving = false;        ///< by its own word
    bool listed = false;         ///< in the list's last version
    bool listed_leaving = false; ///< by the list's word
    bool suspected = false;
    time_point listed_since;
    std::optional<named_successor> successor;
    std::optional<time_point> last_heard;        ///< by any path; the time of receipt
    std::optional<time_point> last_heard_direct; ///< from the VM itself
    std::optional<heartbeat> last_heartbeat;     ///< set for VMs that talk to this one directly
};

/// The version that a VM is known to have applied at least. It is that of one process: a restart begins anew.
struct applied_version {
    version_number version = 0;
    incarnation process;
    time_point last_heard; ///< time of receipt here
};

/// Load of the pools of one region, summed over its data centres, with the age of the oldest part.
struct region_load {
    pool_load load;
    time_point oldest;
};

/// What a tick has found out.
struct membership_tick {
    /// Set if the process slept this long: keys, loans and tickets must not be used before the version in
    /// force has been confirmed anew.
    std::optional<std::chrono::milliseconds> woke_after_pause;
    std::vector<vm_name> connections_to_try; ///< silent or suspected VMs; report the outcome
};

/// Membership as one VM sees it. Not thread-safe; driven by the control thread.
class member_table {
public:
    member_table(vm_name self, incarnation process, membership_settings settings);

    /// Takes a version of the platform's list; an older or equal one is ignored. Gives whether it was taken.
    bool apply_list(const vm_list& list, time_point now);

    /// What this VM says about itself from now on; stamp and name are filled in by the table.
    void set_own(heartbeat own);

    /// Merges a message. `sender` is who the connection proved to be; a message under another name is
    /// ignored. Gives whether the sender's heartbeat was newer than the one held.
    bool receive(const membership_message& message, const vm_name& sender, time_point now);

    /// A new connection to the VM could not be opened, or opened and got no answer.
    void connection_failed(const vm_name& vm, time_point now);
    /// A new connection has worked.
    void connection_succeeded(const vm_name& vm, time_point now);

    /// To be called at least every `pause_limit` / 2.
    membership_tick tick(time_point now);

    /// Whom to send what; empty until the next round is due.
    std::vector<heartbeat_target> plan_heartbeats(time_point now, std::mt19937_64& random);

    /// Whether the VM may get new work. True for this VM unless it leaves.
    bool is_usable(const vm_name& vm) const;
    /// nullptr for a VM that was never listed.
    const member* find(const vm_name& vm) const;
    const std::map<vm_name, member>& members() const noexcept;
    /// Every VM that is listed or alive, this one included, and not leaving: the input of rendezvous ranks.
    std::vector<vm_name> believed_live() const;
    std::vector<vm_name> believed_live(const data_centre_name& data_centre) const;
    /// The delegates of a data centre as this VM sees them, best rank first.
    std::vector<vm_name> delegates(const data_centre_name& data_centre) const;
    bool is_delegate() const;

    /// For each VM that was heard of, this one included: the rules that it is known to have applied.
    std::map<vm_name, applied_version> applied_versions(time_point now) const;
    /// Load of the pools of a region, from heartbeats (own data centre) and summaries.
    std::map<pool_name, region_load> loads(const region_name& region, time_point now) const;

    /// Another living process uses this VM's name and has the higher incarnation: take no callers.
    bool name_taken() const noexcept;
    const heartbeat_stamp& own_stamp() const noexcept;

private:
    void note_own_name(const heartbeat_stamp& seen);
    bool merge_heartbeat(const heartbeat& value, time_point now);
    void merge_record(const member_record& value, time_point now);
    void drop_forgotten(time_point now);
    bool is_in_summary(const member& value, time_point now) const;
    data_centre_summary own_summary(time_point now) const;
    heartbeat_target target_of(const vm_name& receiver);
    std::optional<vm_name> first_asker(bool in_own_centre) const;
    std::vector<vm_name> direct_targets();
    std::optional<vm_name> summary_target(std::mt19937_64& random) const;
    std::optional<vm_name> random_delegate(const std::vector<data_centre_name>& centres,
                                           std::mt19937_64& random) const;
    std::optional<data_centre_name> own_data_centre() const;
    std::vector<data_centre_name> other_data_centres(bool own_region_only) const;

    vm_name m_self;
    membership_settings m_settings;
    heartbeat m_own;
    unsigned m_challenges = 0;
    bool m_name_taken = false;
    std::optional<version_number> m_list_version;
    std::map<vm_name, member> m_members;
    std::map<vm_name, time_point> m_gone_since;
    std::map<vm_name, time_point> m_last_probe;
    std::map<vm_name, std::vector<data_centre_name>> m_wanted_by;
    summary_store m_summaries;
    std::optional<time_point> m_last_tick;
    std::optional<time_point> m_next_round;
    bool m_told_leaving = false; ///< a round to the whole data centre has told that this VM leaves
    std::optional<vm_name> m_last_direct;
};

} // namespace cardamomstream
