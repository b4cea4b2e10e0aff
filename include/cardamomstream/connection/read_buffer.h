/// Buffer for bytes of a connection that a parser has not consumed yet.
#pragma once

#include "cardamomstream/core/memory_limit.h"

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>

namespace cardamomstream {

/// Takes blocks of more than `small_block` bytes from a `memory_limit`. Smaller ones are always available,
/// so that connections with short messages work while others use up the memory.
template <class Value>
class limited_allocator {
public:
    using value_type = Value;
    using propagate_on_container_move_assignment = std::true_type;
    using propagate_on_container_swap = std::true_type;

    static constexpr std::size_t small_block = 4 * 1024;

    explicit limited_allocator(std::shared_ptr<memory_limit> memory)
        : m_memory(std::move(memory))
    {
    }
    template <class Other>
    limited_allocator(const limited_allocator<Other>& other) // NOLINT(google-explicit-constructor)
        : m_memory(other.memory())
    {
    }

    /// Throws std::length_error, which Beast's reads report as http::error::buffer_overflow.
    Value* allocate(std::size_t count)
    {
        const auto bytes = count * sizeof(Value);
        if (bytes > small_block && !m_memory->reserve(bytes)) {
            throw std::length_error("the memory for read buffers is used up");
        }
        return std::allocator<Value>().allocate(count);
    }
    void deallocate(Value* values, std::size_t count) noexcept
    {
        const auto bytes = count * sizeof(Value);
        std::allocator<Value>().deallocate(values, count);
        if (bytes > small_block) {
            m_memory->release(bytes);
        }
    }

    const std::shared_ptr<memory_limit>& memory() const noexcept { return m_memory; }
    friend bool operator==(const limited_allocator& left, const limited_allocator& right)
    {
        return left.m_memory == right.m_memory;
    }

private:
    std::shared_ptr<memory_limit> m_memory;
};

/// Holds a head, a chunk header or trailers until they are complete; bodies pass through it in parts.
using read_buffer = boost::beast::basic_flat_buffer<limited_allocator<char>>;

/// Largest size of one connection's buffer; above the limits of heads.
inline constexpr std::size_t max_read_buffer_bytes = std::size_t{64} * 1024;

inline read_buffer make_read_buffer(std::shared_ptr<memory_limit> memory)
{
    return {max_read_buffer_bytes, limited_allocator<char>(std::move(memory))};
}

} // namespace cardamomstream
