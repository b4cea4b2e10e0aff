/// Prompt prefixes that a model engine remembers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace cardamomstream::standins {

/// Least-recently-used cache of prompt prefixes, in blocks of equal size.
class prefix_cache {
public:
    /// `max_blocks` bounds the memory.
    explicit prefix_cache(std::size_t max_blocks);

    /// Number of leading characters of the prompt that are in the cache; adds the whole prompt.
    std::size_t look_up_and_add(std::string_view prompt);

private:
    using block_hash = std::size_t;

    void touch(block_hash hash);

    std::size_t m_max_blocks;
    std::list<block_hash> m_order; ///< most recently used first
    std::unordered_map<block_hash, std::list<block_hash>::iterator> m_blocks;
};

} // namespace cardamomstream::standins
