#include "prefix_cache.h"

#include <functional>

namespace cardamomstream::standins {

namespace {

constexpr std::size_t block_chars = 64;

} // namespace

prefix_cache::prefix_cache(std::size_t max_blocks)
    : m_max_blocks(max_blocks)
{
}

void prefix_cache::touch(block_hash hash)
{
    const auto found = m_blocks.find(hash);
    if (found != m_blocks.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    m_order.push_front(hash);
    m_blocks.emplace(hash, m_order.begin());
    if (m_blocks.size() > m_max_blocks) {
        m_blocks.erase(m_order.back());
        m_order.pop_back();
    }
}

std::size_t prefix_cache::look_up_and_add(std::string_view prompt)
{
    std::size_t cached = 0;
    for (std::size_t end = block_chars; end <= prompt.size(); end += block_chars) {
        const block_hash hash = std::hash<std::string_view>{}(prompt.substr(0, end));
        if (cached + block_chars == end && m_blocks.contains(hash)) {
            cached = end;
        }
        touch(hash);
    }
    return cached;
}

} // namespace cardamomstream::standins
