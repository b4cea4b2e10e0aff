/// Rendezvous hashing and the size of messages. Pure functions.
#pragma once

#include "cardamomstream/process/heartbeat_types.h"

#include <string_view>
#include <vector>

namespace cardamomstream {

/// Names in the order of their rendezvous weight for `key`, best first. The same on every VM for the same
/// input.
std::vector<vm_name> rank_by_rendezvous(std::string_view key, std::vector<vm_name> names);

/// Digest of who belongs to a data centre: names, processes, leaving flags and successors.
std::uint64_t digest_members(const std::vector<member_record>& members);

/// Upper bound of the encoded size (protobuf) in bytes, without transport overhead.
std::size_t encoded_size_bound(const membership_message& message);
std::size_t encoded_size_bound(const data_centre_summary& summary);

} // namespace cardamomstream
