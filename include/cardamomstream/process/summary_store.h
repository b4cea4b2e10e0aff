/// Summaries of data centres that this VM has heard and passes on.
#pragma once

#include "cardamomstream/process/heartbeat_types.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace cardamomstream {

enum class summary_path : std::size_t { within_data_centre, between_data_centres };

/// The newest summary of each delegate, the member lists that their digests stand for, and what is still to
/// be passed on. Each summary is passed on a bounded number of times. Not thread-safe.
class summary_store {
public:
    /// Takes a summary; one that is not newer than that held from the same origin is ignored. Gives the
    /// members it speaks for, each with at least the lowest version; empty if the member list is not known
    /// yet.
    std::vector<member_record> merge(const data_centre_summary& value, time_point now);

    /// Adds summaries to a message, those passed on least first, up to `max_bytes`. Sends within the data
    /// centre and to others are counted apart: the first must not use up those that carry the news from
    /// centre to centre.
    void fill(membership_message& message, std::size_t max_bytes, summary_path path);

    /// Decides whether the own summary goes out with its members and counts that.
    data_centre_summary prepare_own(data_centre_summary own);

    /// Adds summaries of these data centres with their members, for a receiver that lacks them; at least one
    /// that is known here, and more up to `max_bytes`.
    void answer(membership_message& message, const std::vector<data_centre_name>& wanted,
                std::size_t max_bytes);
    /// Some of the data centres whose members are not known here, in turn.
    std::vector<data_centre_name> wanted_members();

    /// The newest loads of each data centre of a region.
    struct received_loads {
        const std::map<pool_name, pool_load>* loads = nullptr;
        time_point received;
    };
    std::vector<received_loads> loads_of(const region_name& region) const;

private:
    struct held_summary {
        data_centre_summary value; ///< without its members
        time_point received;
        std::array<unsigned, 2> times_sent{}; ///< by path
    };
    struct member_list {
        std::uint64_t digest = 0;
        std::vector<member_record> members;
        unsigned sends_left = 0; ///< sends that carry the members
    };
    struct data_centre_state {
        std::map<vm_name, held_summary> by_origin;
        std::vector<member_list> lists; ///< newest first
        bool members_wanted = false;
        region_name region;
        std::map<pool_name, pool_load> loads;
        time_point loads_received;
    };

    std::optional<data_centre_summary> newest_with_members(const data_centre_name& data_centre);
    static member_list* find_list(data_centre_state& state, std::uint64_t digest);
    static void remember_list(data_centre_state& state, std::uint64_t digest,
                              std::vector<member_record> members);
    static void drop_oldest_origin(data_centre_state& state);

    std::map<data_centre_name, data_centre_state> m_data_centres;
    std::size_t m_asked = 0;
};

} // namespace cardamomstream
