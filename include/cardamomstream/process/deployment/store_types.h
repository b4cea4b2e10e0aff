/// Entries of the platform's store, and their changes as VMs report them to each other.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstream {

/// A state of the store. Its revisions rise within an era; a store that was restored from an older copy
/// begins a new era and gives out revisions again.
struct store_position {
    std::uint64_t era = 0; ///< 0: the store states none
    std::uint64_t revision = 0;

    friend auto operator<=>(const store_position&,
                            const store_position&) = default; // NOLINT(modernize-use-nullptr)
};

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
    store_position position;          ///< of the whole store; the next watch continues from here
    std::size_t unreadable_items = 0; ///< without key or revision; not among `items`
    /// The first listing after the store was restored from an older copy.
    bool restored = false;
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
    store_position after; ///< no change of the part lies between this and the first of these
    store_position up_to; ///< nor between the last of these and this; of the same era
    /// The store was down shortly before, so removed entries may merely have expired.
    bool after_outage = false;
    std::vector<store_item> items;
};

} // namespace cardamomstream
