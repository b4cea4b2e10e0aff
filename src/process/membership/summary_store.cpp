#include "cardamomstream/process/summary_store.h"

#include "cardamomstream/process/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

constexpr std::size_t max_origins = 4;     // of one data centre
constexpr std::size_t max_lists = 4;       // of one data centre
constexpr unsigned max_sends = 4;          // of one summary by one VM on one path
constexpr unsigned sends_with_members = 1; // of a member list that is new here
constexpr std::size_t max_wanted = 8;      // data centres named in one message

} // namespace

std::vector<member_record> summary_store::merge(const data_centre_summary& value, time_point now)
{
    auto& state = m_data_centres[value.data_centre];
    const auto held = state.by_origin.find(value.origin);
    const bool is_new = held == state.by_origin.end() || held->second.value.stamp < value.stamp;
    const bool has_list = !value.members.empty() && digest_members(value.members) == value.members_digest;
    if (has_list && find_list(state, value.members_digest) == nullptr) {
        remember_list(state, value.members_digest, value.members);
    }
    if (!is_new) {
        return {};
    }
    auto& kept = state.by_origin[value.origin];
    kept = {value, now, {}};
    kept.value.members.clear();
    state.region = value.region;
    if (!value.loads.empty()) {
        state.loads = value.loads;
        state.loads_received = now;
    }
    drop_oldest_origin(state);

    const member_list* list = find_list(state, value.members_digest);
    state.members_wanted = list == nullptr;
    if (list == nullptr) {
        return {};
    }
    // The records of this very summary are newer than those of the remembered list.
    auto members = has_list ? value.members : list->members;
    for (auto& member : members) {
        member.applied_version = std::max(member.applied_version, value.lowest_version);
    }
    return members;
}

void summary_store::fill(membership_message& message, std::size_t max_bytes, summary_path path)
{
    const auto counter = static_cast<std::size_t>(path);
    std::vector<held_summary*> candidates;
    for (auto& [data_centre, state] : m_data_centres) {
        held_summary* newest = nullptr;
        for (auto& [origin, held] : state.by_origin) {
            if (newest == nullptr || newest->received < held.received) {
                newest = &held;
            }
        }
        if (newest != nullptr && newest->times_sent[counter] < max_sends) {
            candidates.push_back(newest);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [counter](const held_summary* left, const held_summary* right) {
                  const unsigned left_sent = left->times_sent[counter];
                  const unsigned right_sent = right->times_sent[counter];
                  return left_sent != right_sent ? left_sent < right_sent : left->received > right->received;
              });
    std::size_t bytes = 0;
    for (const auto& own : message.summaries) {
        bytes += encoded_size_bound(own);
    }
    for (held_summary* held : candidates) {
        auto value = held->value;
        member_list* list = find_list(m_data_centres[value.data_centre], value.members_digest);
        const bool has_members = list != nullptr && list->sends_left > 0;
        if (has_members) {
            value.members = list->members;
        }
        bytes += encoded_size_bound(value);
        if (bytes > max_bytes && !message.summaries.empty()) {
            return;
        }
        if (has_members) {
            --list->sends_left;
        }
        ++held->times_sent[counter];
        message.summaries.push_back(std::move(value));
    }
}

data_centre_summary summary_store::prepare_own(data_centre_summary own)
{
    auto& state = m_data_centres[own.data_centre];
    if (find_list(state, own.members_digest) == nullptr) {
        remember_list(state, own.members_digest, own.members);
    }
    member_list& list = *find_list(state, own.members_digest);
    if (list.sends_left == 0) {
        own.members.clear();
        return own;
    }
    --list.sends_left;
    return own;
}

void summary_store::answer(membership_message& message, const std::vector<data_centre_name>& wanted,
                           std::size_t max_bytes)
{
    std::size_t bytes = 0;
    for (const auto& data_centre : wanted) {
        auto value = newest_with_members(data_centre);
        if (!value) {
            continue;
        }
        bytes += encoded_size_bound(*value);
        if (bytes > max_bytes && !message.summaries.empty()) {
            return;
        }
        message.summaries.push_back(*std::move(value));
    }
}

std::optional<data_centre_summary> summary_store::newest_with_members(const data_centre_name& data_centre)
{
    const auto found = m_data_centres.find(data_centre);
    if (found == m_data_centres.end()) {
        return std::nullopt;
    }
    for (const auto& [origin, held] : found->second.by_origin) {
        if (const member_list* list = find_list(found->second, held.value.members_digest)) {
            auto value = held.value;
            value.members = list->members;
            return value;
        }
    }
    return std::nullopt;
}

std::vector<data_centre_name> summary_store::wanted_members()
{
    std::vector<data_centre_name> wanted;
    for (const auto& [data_centre, state] : m_data_centres) {
        if (state.members_wanted) {
            wanted.push_back(data_centre);
        }
    }
    if (!wanted.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(m_asked++ % wanted.size());
        std::rotate(wanted.begin(), wanted.begin() + first, wanted.end());
        wanted.resize(std::min(wanted.size(), max_wanted));
    }
    return wanted;
}

std::vector<summary_store::received_loads> summary_store::loads_of(const region_name& region) const
{
    std::vector<received_loads> found;
    for (const auto& [data_centre, state] : m_data_centres) {
        if (state.region == region && !state.loads.empty()) {
            found.push_back({&state.loads, state.loads_received});
        }
    }
    return found;
}

summary_store::member_list* summary_store::find_list(data_centre_state& state, std::uint64_t digest)
{
    const auto found = std::find_if(state.lists.begin(), state.lists.end(),
                                    [digest](const member_list& list) { return list.digest == digest; });
    return found == state.lists.end() ? nullptr : &*found;
}

void summary_store::remember_list(data_centre_state& state, std::uint64_t digest,
                                  std::vector<member_record> members)
{
    state.lists.insert(state.lists.begin(), {digest, std::move(members), sends_with_members});
    if (state.lists.size() > max_lists) {
        state.lists.pop_back();
    }
}

void summary_store::drop_oldest_origin(data_centre_state& state)
{
    if (state.by_origin.size() <= max_origins) {
        return;
    }
    const auto oldest = std::min_element(
        state.by_origin.begin(), state.by_origin.end(),
        [](const auto& left, const auto& right) { return left.second.received < right.second.received; });
    state.by_origin.erase(oldest);
}

} // namespace cardamomstream
