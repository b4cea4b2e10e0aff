/// Limit on the memory for answers that are buffered until they are complete.
#pragma once

#include "cardamomstream/core/memory_limit.h"

#include <algorithm>
#include <cstddef>

namespace cardamomstream {

/// Protects a VM with little memory from upstreams that send large or endless answers to many requests at
/// once. Belongs to one traffic thread; reservations must not outlive it.
class answer_memory {
public:
    static constexpr std::size_t max_bytes_per_answer = std::size_t{8} * 1024 * 1024;
    static constexpr std::size_t default_max_bytes = std::size_t{48} * 1024 * 1024;

    /// `max_bytes`: of all answers together; room for a single one of the largest size is always made.
    explicit answer_memory(std::size_t max_bytes = default_max_bytes)
        : m_limit(std::max(max_bytes, limit_with_room_for(max_bytes_per_answer)))
    {
    }

    /// Bytes reserved for one answer, or for a stream's incomplete event; released on destruction.
    class reservation {
    public:
        explicit reservation(answer_memory& owner)
            : m_owner(owner)
        {
        }
        ~reservation() { m_owner.m_limit.release(m_bytes); }
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;
        reservation(reservation&&) = delete;
        reservation& operator=(reservation&&) = delete;

        /// Reserves more bytes. False when a limit would be exceeded.
        bool add(std::size_t bytes) { return resize(m_bytes + bytes); }

        /// Reserves this many bytes in all. False when a limit would be exceeded.
        bool resize(std::size_t bytes)
        {
            if (bytes <= m_bytes) {
                m_owner.m_limit.release(m_bytes - bytes);
            }
            else if (bytes > max_bytes_per_answer ||
                     !m_owner.m_limit.reserve(bytes - m_bytes, m_owner.kept_free(bytes))) {
                return false;
            }
            m_bytes = bytes;
            return true;
        }

    private:
        answer_memory& m_owner;
        std::size_t m_bytes = 0;
    };

    /// Bytes in use.
    std::size_t bytes() const { return m_limit.bytes(); }

    /// Starts an empty reservation for one answer.
    reservation reserve() { return reservation(*this); }

private:
    /// Of the limit, for an answer of this size.
    std::size_t kept_free(std::size_t bytes) const
    {
        return bytes <= small_message_bytes ? 0 : kept_for_small_messages(m_limit.max_bytes());
    }

    memory_limit m_limit;
};

} // namespace cardamomstream
