/// What the platform's store tells, and what VMs tell each other of it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstream {

/// One entry of the store, or the word that it was removed.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

/// What one call of the store returned.
struct store_batch {
    std::vector<store_item> items;
    std::uint64_t revision = 0; ///< of the whole store; the next watch goes on from here
};

/// Parts of the store that a VM follows.
enum class store_part : std::uint8_t {
    operators, ///< plan and evacuations
    upstreams,
};
inline constexpr std::size_t store_part_count = 2;

/// Changes of one part of the store that follow each other without a gap.
struct store_changes {
    store_part part = store_part::operators;
    std::uint64_t after = 0; ///< the last change of the part before these
    std::uint64_t revision = 0;
    bool after_outage = false; ///< the store was away shortly before, so removed entries may have lapsed
    std::vector<store_item> items;
};

} // namespace cardamomstream
