/// Limit on memory that many owners share.
#pragma once

#include <atomic>
#include <cstddef>

namespace cardamomstream {

/// Messages of at most this size may also use the part of a limit that is kept for them, so that large ones
/// can't keep them out.
inline constexpr std::size_t small_message_bytes = std::size_t{64} * 1024;

/// The part of a limit that is kept for small messages.
constexpr std::size_t kept_for_small_messages(std::size_t max_bytes)
{
    return max_bytes / 4;
}

/// The least limit under which one message of this size fits beside that part.
constexpr std::size_t limit_with_room_for(std::size_t message_bytes)
{
    return message_bytes + message_bytes / 3;
}

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
