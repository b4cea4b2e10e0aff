/// Finds the customer of a presented key.
#pragma once

#include "cardamomstream/core/core_types.h"
#include "cardamomstream/version/key_digest.h"
#include "cardamomstream/version/rules_types.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamomstream {

/// Whose key it is.
struct key_owner {
    key_name key;
    customer_name customer;
    friend bool operator==(const key_owner&, const key_owner&) = default;
};

/// Immutable index over the keys of one version of the rules; may be shared by threads.
///
/// Digests lie in buckets by their first bytes, all padded to the same size. A lookup compares every slot of
/// one bucket and stops at none, so its time says nothing about the digests that are stored.
class key_index {
public:
    explicit key_index(const rules& source);

    /// Owner of a key as the caller presents it; empty when no published key matches.
    std::optional<key_owner> find(std::string_view presented_key) const;

    /// Owner by digest, for checks on open connections, which keep the digest and not the key.
    std::optional<key_owner> find(const key_digest& digest) const;

private:
    struct slot {
        key_digest digest{};
        std::size_t owner = 0; ///< index into m_owners, plus one; 0 in padding
    };

    std::size_t bucket_of(const key_digest& digest) const noexcept;

    std::vector<key_owner> m_owners;
    std::vector<slot> m_slots; ///< bucket after bucket
    std::size_t m_bucket_count = 1;
    std::size_t m_bucket_size = 0; ///< slots in each bucket
};

using key_index_snapshot = std::shared_ptr<const key_index>;

} // namespace cardamomstream
