#include "cardamomstream/connection/body_memory.h"

#include <memory>
#include <vector>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kib = 1'024;
constexpr std::size_t unknown = 1'000 * kib; ///< bytes that are still to come

/// A sender whose body is kept in the memory.
struct sender {
    sender(const std::shared_ptr<body_memory>& memory, time_point now)
        : account(
              memory, [this] { cuts += 1; }, now)
    {
    }
    int cuts = 0;
    body_memory::account account;
};

} // namespace

// 60 bodies of 4 MB that stopped just short of their end took 368 MB on a machine of 160 MB.
TEST_CASE("a crowd of uploads meets a machine with little memory")
{
    const time_point start{1h};
    const auto memory = std::make_shared<body_memory>(body_memory_settings{800 * kib, 64 * kib, 1'000ms});
    std::vector<std::unique_ptr<sender>> crowd;
    while (true) {
        crowd.push_back(std::make_unique<sender>(memory, start));
        if (crowd.back()->account.grow(100 * kib, unknown, start) != memory_grant::granted) {
            break;
        }
    }
    REQUIRE(crowd.size() == 7);
    CHECK(memory->bytes() == 600 * kib);

    SECTION("a small body is still read")
    {
        sender ordinary(memory, start);
        CHECK(ordinary.account.grow(20 * kib, 0, start) == memory_grant::granted);
    }
    SECTION("so is one that is nearly complete")
    {
        CHECK(crowd.front()->account.grow(64 * kib, 10 * kib, start) == memory_grant::granted);
    }
    SECTION("a further large one is refused while all of them still send")
    {
        sender large(memory, start);
        CHECK(large.account.grow(100 * kib, unknown, start + 900ms) == memory_grant::refused);
        for (const auto& one : crowd) {
            CHECK(one->cuts == 0);
        }
    }
    SECTION("once they have stalled, those that have stalled for longest give way")
    {
        crowd.back().reset();
        crowd.pop_back();
        REQUIRE(crowd[0]->account.grow(64 * kib, 10 * kib, start + 500ms) == memory_grant::granted);
        sender large(memory, start + 1'200ms);
        CHECK(large.account.grow(100 * kib, unknown, start + 1'200ms) == memory_grant::awaited);
        CHECK(crowd[0]->cuts == 0);
        CHECK(crowd[1]->cuts == 1);
        CHECK(crowd[2]->cuts == 1);
        CHECK(crowd[3]->cuts == 0);

        SECTION("and are asked once")
        {
            CHECK(large.account.grow(100 * kib, unknown, start + 1'300ms) == memory_grant::awaited);
            CHECK(crowd[1]->cuts == 1);
        }
        SECTION("their memory is free as soon as they have ended")
        {
            crowd.erase(crowd.begin() + 1, crowd.begin() + 3);
            CHECK(large.account.grow(100 * kib, unknown, start + 1'300ms) == memory_grant::granted);
        }
    }
    SECTION("a body that was read and waits for its answer never gives way")
    {
        for (const auto& one : crowd) {
            one->account.complete();
        }
        sender large(memory, start);
        CHECK(large.account.grow(100 * kib, unknown, start + 1h) == memory_grant::refused);
    }
    SECTION("all is free again when they have left")
    {
        crowd.clear();
        CHECK(memory->bytes() == 0);
    }
}

TEST_CASE("a single body of the largest size fits, however small the machine")
{
    const time_point start{1h};
    const auto memory = std::make_shared<body_memory>(body_memory_settings{100 * kib, 10 * kib, 1'000ms});
    memory->make_room_for(1'000 * kib);
    sender alone(memory, start);
    CHECK(alone.account.grow(1'000 * kib, unknown, start) == memory_grant::granted);
}
