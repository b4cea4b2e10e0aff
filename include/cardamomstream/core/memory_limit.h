/// Limit on memory that many owners share.
#pragma once

#include <atomic>
#include <cstddef>

namespace cardamomstream {

/// Counts the bytes that its users have reserved. Thread safe.
class memory_limit {
public:
    explicit memory_limit(std::size_t max_bytes)
        : m_max_bytes(max_bytes)
    {
    }

    /// False, and nothing is reserved, when less than `keep_free` would be left of the limit.
    bool reserve(std::size_t bytes, std::size_t keep_free = 0) noexcept
    {
        if (m_bytes.fetch_add(bytes) + bytes + keep_free <= m_max_bytes) {
            return true;
        }
        m_bytes -= bytes;
        return false;
    }
    void release(std::size_t bytes) noexcept { m_bytes -= bytes; }

    std::size_t bytes() const noexcept { return m_bytes; }
    std::size_t max_bytes() const noexcept { return m_max_bytes; }

private:
    std::size_t m_max_bytes;
    std::atomic<std::size_t> m_bytes = 0;
};

} // namespace cardamomstream
