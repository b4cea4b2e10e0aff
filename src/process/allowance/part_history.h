/// The parts that one VM had of one customer's bucket in the versions of the rules that may be in force.
#pragma once

#include "cardamomstream/process/allowance_types.h"

#include <vector>

namespace cardamomstream {

/// Grows by one entry with each version that changes the part; bounded by merging the oldest entries into
/// their least, which stays in force for longer than needed and so only refuses more.
class part_history {
public:
    void add(version_number version, const bucket_share& part);
    /// No process runs a version below `oldest` any more.
    void forget_before(version_number oldest);
    /// Least rate and least burst over all versions that may be in force.
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
