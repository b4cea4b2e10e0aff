#include "cardamomstream/request/gateway/answer_memory.h"

#include <list>

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("many answers are buffered until they are complete")
{
    constexpr std::size_t part = 16 * 1024;
    answer_memory memory;

    SECTION("a single answer stays within its own limit")
    {
        auto one = memory.reserve();
        std::size_t reserved = 0;
        while (one.add(part)) {
            reserved += part;
        }
        CHECK(reserved == answer_memory::max_bytes_per_answer);
    }
    SECTION("fifty endless answers leave a VM of 160 MB two thirds of its memory")
    {
        constexpr std::size_t third_of_vm = 160'000'000 / 3;
        std::list<answer_memory::reservation> answers;
        std::size_t reserved = 0;
        for (int answer = 0; answer < 50; ++answer) {
            answers.emplace_back(memory);
            while (answers.back().add(part)) {
                reserved += part;
            }
        }
        CHECK(reserved <= third_of_vm);
        SECTION("and their memory can be used again when they have ended")
        {
            answers.clear();
            CHECK(memory.reserve().add(part));
        }
    }
}
