/// Bytes of plain answers that a VM holds until they are whole.
#pragma once

#include <cstddef>

namespace cardamomstream {

/// Answers for upstreams that send large answers, or bytes without end, to many requests at once: a VM has
/// little memory. One traffic thread; holders must not outlive it.
class answer_memory {
public:
    static constexpr std::size_t max_bytes_of_one = std::size_t{8} * 1024 * 1024;
    static constexpr std::size_t max_bytes = std::size_t{48} * 1024 * 1024;

    /// What one answer holds, until it is destroyed.
    class holder {
    public:
        explicit holder(answer_memory& all)
            : m_all(all)
        {
        }
        ~holder() { m_all.m_bytes -= m_bytes; }
        holder(const holder&) = delete;
        holder& operator=(const holder&) = delete;
        holder(holder&&) = delete;
        holder& operator=(holder&&) = delete;

        /// False when there is no room for so many more bytes.
        bool add(std::size_t bytes)
        {
            if (m_bytes + bytes > max_bytes_of_one || m_all.m_bytes + bytes > max_bytes) {
                return false;
            }
            m_bytes += bytes;
            m_all.m_bytes += bytes;
            return true;
        }

    private:
        answer_memory& m_all;
        std::size_t m_bytes = 0;
    };

    holder hold() { return holder(*this); }

private:
    std::size_t m_bytes = 0;
};

} // namespace cardamomstream
