/// Changes of the store that were read lately, for VMs that have missed some of them.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/deployment/store_types.h"

#include <chrono>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace cardamomstream {

/// A VM that reads the store tells the others in datagrams, of which some are lost while links are full, just
/// when a call to the store takes long as well. Each telling therefore repeats what was told lately. No I/O;
/// not thread safe.
class recent_changes {
public:
    static constexpr std::chrono::milliseconds memory{3'000};
    static constexpr std::size_t max_bytes = std::size_t{2} * 1024; ///< repeated with one telling

    /// Adds changes that were read, also those that another VM has read.
    void add(const store_changes& changes, time_point now);

    /// The latest changes, preceded by those before them that are remembered without a gap.
    store_changes repeated(const store_changes& latest, time_point now) const;

private:
    struct entry {
        store_changes changes;
        std::size_t bytes = 0;
        time_point at;
    };

    std::deque<entry> m_entries; ///< newest first
};

/// Divides changes into parts whose keys and values take at most `max_bytes` each; none if a single item
/// takes more. No part claims to hold all of a revision of which more follows: what a new listing leaves out
/// is told under one revision.
std::vector<store_changes> split_changes(const store_changes& changes, std::size_t max_bytes);

/// Knows the keys of one part of the store, so that what a new listing leaves out can be told as removed.
class listed_keys {
public:
    /// Replaces the keys by those of a listing. Returns the changes from the state before it, which holds up
    /// to `after`.
    store_changes replace(store_part part, const store_batch& listing, const store_position& after,
                          const store_position& known);

    /// Applies changes that follow.
    void apply(const store_changes& changes);

private:
    std::set<std::string> m_keys;
};

} // namespace cardamomstream
