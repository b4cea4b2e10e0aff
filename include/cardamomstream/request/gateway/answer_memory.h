/// Limit on the memory for answers that are buffered until they are complete.
#pragma once

#include "cardamomstream/core/memory_limit.h"

#include <cstddef>

namespace cardamomstream {

/// Protects a VM with little memory from upstreams that send large or endless answers to many requests at
/// once. Belongs to one traffic thread; reservations must not outlive it.
class answer_memory {
public:
    static constexpr std::size_t max_bytes_per_answer = std::size_t{8} * 1024 * 1024;
    static constexpr std::size_t max_bytes = std::size_t{48} * 1024 * 1024;

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
            else if (bytes > max_bytes_per_answer || !m_owner.m_limit.reserve(bytes - m_bytes)) {
                return false;
            }
            m_bytes = bytes;
            return true;
        }

    private:
        answer_memory& m_owner;
        std::size_t m_bytes = 0;
    };

    /// Starts an empty reservation for one answer.
    reservation reserve() { return reservation(*this); }

private:
    memory_limit m_limit{max_bytes};
};

} // namespace cardamomstream
