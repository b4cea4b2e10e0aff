#include "cardamomstream/connection/read_buffer.h"

#include <memory>
#include <stdexcept>
#include <vector>

#include <catch2/catch.hpp>

using namespace cardamomstream;

// Each connection within its own limit, all of them together used up the memory of the VM.
TEST_CASE("the read buffers of many connections share a limit")
{
    constexpr std::size_t limit = 256 * 1024;
    const auto memory = std::make_shared<memory_limit>(limit);
    std::vector<read_buffer> buffers;
    constexpr std::size_t connections = 100;
    buffers.reserve(connections);
    for (std::size_t number = 0; number < connections; ++number) {
        buffers.push_back(make_read_buffer(memory));
    }

    std::size_t full = 0;
    for (auto& buffer : buffers) {
        try {
            buffer.commit(buffer.prepare(max_read_buffer_bytes).size());
            full += 1;
        }
        catch (const std::length_error&) {
        }
    }
    CHECK(full == limit / max_read_buffer_bytes);
    CHECK(memory->bytes() <= limit);

    SECTION("a connection with short messages still works")
    {
        auto buffer = make_read_buffer(memory);
        CHECK_NOTHROW(buffer.prepare(limited_allocator<char>::small_block));
    }
    SECTION("the memory is available again once a connection has ended")
    {
        buffers.clear();
        CHECK(memory->bytes() == 0);
        auto buffer = make_read_buffer(memory);
        CHECK_NOTHROW(buffer.prepare(max_read_buffer_bytes));
    }
    SECTION("and once a connection has become idle")
    {
        for (auto& buffer : buffers) {
            buffer.consume(buffer.size());
            buffer.shrink_to_fit();
        }
        CHECK(memory->bytes() == 0);
    }
    SECTION("one connection never takes more than its share")
    {
        buffers.clear();
        auto buffer = make_read_buffer(memory);
        CHECK_THROWS_AS(buffer.prepare(max_read_buffer_bytes + 1), std::length_error);
    }
}
