/// Selects the VMs that read the store on behalf of their data centre.
#pragma once

#include "cardamomstream/process/deployment/vm_table.h"

#include <optional>

namespace cardamomstream {

/// Keeps a large fleet from calling the store hundreds of times a second. One VM of each data centre reads
/// it and reports the changes to the others: the first in rendezvous order that the store answers, those on
/// larger machines before the others, since a change is sent to a whole data centre. While
/// there is none, a few VMs at a time try in turn, so that a store that is down, or rejects some VMs, gets
/// few calls. A VM that knows no others reads the store itself. Not thread-safe.
class store_reader_choice {
public:
    /// Returns true when this VM should read the store. `capacity`: of this VM, as in `vm_member`.
    /// `answered`: it reads, and the store answers it. `neighbours`: the live VMs of its data centre.
    bool should_read(const endpoint& self, std::uint32_t capacity, bool answered, const known_vms& neighbours,
                     time_point now);

private:
    std::optional<time_point>
        m_no_better_reader_since; ///< no VM of a higher rank has been reading since then
};

} // namespace cardamomstream
