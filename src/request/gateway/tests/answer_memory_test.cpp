#include "cardamomstream/request/gateway/answer_memory.h"

#include <list>

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("many answers are held until they are whole")
{
    constexpr std::size_t part = 16 * 1024;
    answer_memory all;

    SECTION("one alone stays within its own bound")
    {
        auto one = all.hold();
        std::size_t held = 0;
        while (one.add(part)) {
            held += part;
        }
        CHECK(held == answer_memory::max_bytes_of_one);
    }
    SECTION("fifty without end leave a VM of 160 MB two thirds of its memory")
    {
        constexpr std::size_t third_of_vm = 160'000'000 / 3;
        std::list<answer_memory::holder> answers;
        std::size_t held = 0;
        for (int answer = 0; answer < 50; ++answer) {
            answers.emplace_back(all);
            while (answers.back().add(part)) {
                held += part;
            }
        }
        CHECK(held <= third_of_vm);
        SECTION("and room for the next ones when they have ended")
        {
            answers.clear();
            CHECK(all.hold().add(part));
        }
    }
}
