/// Entries of the platform's store, and their changes as VMs report them to each other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstream {

/// An entry of the store, or its removal.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

/// Result of one call to the store.
struct store_batch {
    std::vector<store_item> items;
    std::uint64_t revision = 0;       ///< of the whole store; the next watch continues from here
    std::size_t unreadable_items = 0; ///< without key or revision; not among `items`
};

/// Parts of the store that a VM follows.
enum class store_part : std::uint8_t {
    operators, ///< plan and evacuations
    upstreams,
};
inline constexpr std::size_t store_part_count = 2;

/// Consecutive changes of one part of the store, without gaps.
struct store_changes {
    store_part part = store_part::operators;
    std::uint64_t after = 0; ///< revision of the part's last change before these
    std::uint64_t revision = 0;
    /// The store was down shortly before, so removed entries may merely have expired.
    bool after_outage = false;
    std::vector<store_item> items;
};

} // namespace cardamomstream
