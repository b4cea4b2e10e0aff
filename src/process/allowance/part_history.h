/// One VM's parts of one customer's bucket in all versions of the rules that may be in force.
#pragma once

#include "cardamomstream/process/allowance_types.h"

#include <vector>

namespace cardamomstream {

/// Holds one entry for each version that changed the part. The number of entries is limited: the two oldest
/// are merged into their minimum, which then applies for longer than needed. That can only refuse more
/// requests.
class part_history {
public:
    void add(version_number version, const bucket_share& part);
    /// Drops the parts that applied only before `oldest`; no process runs an older version any more.
    void forget_before(version_number oldest);
    /// Minimum rate and minimum burst over all versions that may be in force.
    bucket_share minimum() const;
    bool has_one_entry() const { return m_parts.size() <= 1; }

private:
    struct entry {
        version_number since = 0;
        bucket_share part;
    };
    std::vector<entry> m_parts;
};

} // namespace cardamomstream
