/// Which VMs of a data centre read the store for all of it.
#pragma once

#include "cardamomstream/process/deployment/vm_table.h"

#include <optional>

namespace cardamomstream {

/// Answers for a fleet whose VMs would together call the store hundreds of times a second. One VM of each
/// data centre reads it and tells the others: the first by rendezvous that the store answers. While there is
/// none, few at a time try in turn, so that a store which is away, or turns some VMs away, is asked by few.
/// A VM that has not heard of the others reads. Not thread safe.
class store_reader_choice {
public:
    /// True when this VM shall read. `answered`: it reads, and the store answers it. `neighbours`: the VMs
    /// alive in its data centre.
    bool should_read(const endpoint& self, bool answered, const known_vms& neighbours, time_point now);

private:
    std::optional<time_point> m_without_since; ///< no VM before this one reads since then
};

} // namespace cardamomstream
