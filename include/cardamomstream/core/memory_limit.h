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

    /// False, and nothing is reserved, when the limit would be exceeded.
    bool reserve(std::size_t bytes) noexcept
    {
        if (m_bytes.fetch_add(bytes) + bytes <= m_max_bytes) {
            return true;
        }
        m_bytes -= bytes;
        return false;
    }
    void release(std::size_t bytes) noexcept { m_bytes -= bytes; }

    std::size_t bytes() const noexcept { return m_bytes; }

private:
    std::size_t m_max_bytes;
    std::atomic<std::size_t> m_bytes = 0;
};

} // namespace cardamomstream
