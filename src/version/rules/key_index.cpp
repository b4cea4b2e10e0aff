#include "cardamomstream/version/key_index.h"

#include <algorithm>
#include <bit>

namespace cardamomstream {
namespace {

/// Wanted keys in one bucket on average.
constexpr std::size_t keys_per_bucket = 4;

/// The first 16 bits of a digest choose the bucket.
constexpr std::size_t max_bucket_count = 65'536;

} // namespace

key_index::key_index(const rules& source)
    : m_bucket_count(std::min(max_bucket_count, std::bit_ceil(1 + source.keys.size() / keys_per_bucket)))
{
    std::vector<std::vector<slot>> buckets(m_bucket_count);
    for (const auto& [key, rule] : source.keys) {
        m_owners.push_back({key, rule.customer});
        buckets[bucket_of(rule.digest)].push_back({rule.digest, m_owners.size()});
    }
    for (const auto& bucket : buckets) {
        m_bucket_size = std::max(m_bucket_size, bucket.size());
    }
    for (auto& bucket : buckets) {
        bucket.resize(m_bucket_size);
        m_slots.insert(m_slots.end(), bucket.begin(), bucket.end());
    }
}

std::optional<key_owner> key_index::find(std::string_view presented_key) const
{
    return find(digest_of(presented_key));
}

std::optional<key_owner> key_index::find(const key_digest& digest) const
{
    const std::size_t first = bucket_of(digest) * m_bucket_size;
    std::size_t owner = 0;
    for (std::size_t i = first; i < first + m_bucket_size; ++i) {
        owner |= m_slots[i].owner * static_cast<std::size_t>(equal_constant_time(m_slots[i].digest, digest));
    }
    if (owner == 0) {
        return std::nullopt;
    }
    return m_owners[owner - 1];
}

std::size_t key_index::bucket_of(const key_digest& digest) const noexcept
{
    const std::size_t head = digest[0] * std::size_t{256} + digest[1];
    return head & (m_bucket_count - 1);
}

} // namespace cardamomstream
