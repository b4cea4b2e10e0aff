#include "cardamomstream/process/member_table.h"
#include "cardamomstream/process/rendezvous.h"

#include <random>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const vm_name one{"riga-1"};
const vm_name two{"riga-2"};
const vm_name far_away{"latgale-1"};
const time_point start = time_point{} + 1h;

vm_list list_of(version_number version, const std::vector<vm_name>& vms)
{
    vm_list list;
    list.version = version;
    for (const auto& vm : vms) {
        const std::string place = vm.str().substr(0, vm.str().find('-'));
        list.vms[vm] = {region_name{place}, data_centre_name{place + "-a"}, {}, {}, listed_state::live};
    }
    return list;
}

membership_message word_of(const vm_name& vm, heartbeat_stamp stamp, version_number version = 1)
{
    membership_message message;
    message.sender.vm = vm;
    message.sender.stamp = stamp;
    message.sender.applied_version = version;
    return message;
}

} // namespace

TEST_CASE("a VM is usable until it is seen to fail")
{
    member_table table(one, {100}, {});
    table.apply_list(list_of(1, {one, two, far_away}), start);

    SECTION("no data is not bad data")
    {
        CHECK(table.is_usable(two));
        CHECK(table.find(two)->state == member_state::listed);
        CHECK_FALSE(table.is_usable(vm_name{"unlisted"}));
    }
    SECTION("silence only asks for a new connection")
    {
        table.receive(word_of(two, {1, {5}, 1}), two, start);
        for (auto time = 1s; time <= 15s; ++time) {
            CHECK(table.tick(start + time).connections_to_try.empty());
        }
        const auto found = table.tick(start + 16s);
        CHECK(found.connections_to_try == std::vector<vm_name>{two});
        CHECK(table.is_usable(two));
        CHECK(table.tick(start + 17s).connections_to_try.empty());
    }
    SECTION("a failed new connection makes it suspected until it is heard or reached")
    {
        table.connection_failed(two, start);
        CHECK(table.find(two)->state == member_state::suspected);
        CHECK_FALSE(table.is_usable(two));
        CHECK(table.tick(start + 2s).connections_to_try == std::vector<vm_name>{two});

        SECTION("reached")
        {
            table.connection_succeeded(two, start + 2s);
            CHECK(table.is_usable(two));
        }
        SECTION("heard")
        {
            table.receive(word_of(two, {1, {5}, 1}), two, start + 2s);
            CHECK(table.is_usable(two));
        }
        SECTION("but another VM's word does not show that this one can reach it")
        {
            const vm_name beside{"latgale-2"};
            table.apply_list(list_of(2, {one, two, far_away, beside}), start);
            table.connection_failed(beside, start);
            auto message = word_of(far_away, {1, {7}, 1});
            data_centre_summary summary{region_name{"latgale"},
                                        data_centre_name{"latgale-a"},
                                        far_away,
                                        {1, {7}, 1},
                                        3,
                                        0,
                                        {{beside, {1, {5}, 1}, 3, false, {}}},
                                        {}};
            summary.members_digest = digest_members(summary.members);
            message.summaries.push_back(summary);
            table.receive(message, far_away, start + 2s);
            CHECK_FALSE(table.is_usable(beside));
            CHECK(table.applied_versions(start + 2s).at(beside).version == 3);
        }
    }
    SECTION("removal from the list stops new work at once and an older list does not undo it")
    {
        table.receive(word_of(two, {1, {5}, 1}), two, start);
        CHECK(table.apply_list(list_of(2, {one, far_away}), start + 1s));
        CHECK_FALSE(table.is_usable(two));
        CHECK_FALSE(table.apply_list(list_of(1, {one, two, far_away}), start + 2s));
        table.receive(word_of(two, {1, {5}, 2}), two, start + 2s);
        CHECK(table.find(two)->state == member_state::gone);
        table.tick(start + 1h);
        CHECK(table.find(two) == nullptr);
    }
    SECTION("a VM that says it leaves gets no new work")
    {
        auto leaving = word_of(two, {1, {5}, 1});
        leaving.sender.leaving = true;
        leaving.sender.successor = named_successor{one, {100}};
        table.receive(leaving, two, start);
        CHECK(table.find(two)->state == member_state::leaving);
        CHECK(table.find(two)->successor->vm == one);
        CHECK_FALSE(table.is_usable(two));
    }
    SECTION("a VM that begins to leave tells its data centre at once, not with the next round")
    {
        std::mt19937_64 random(7);
        membership_settings few;
        few.direct_targets = 1;
        const vm_name three{"riga-3"};
        member_table leaver(one, {100}, few);
        leaver.apply_list(list_of(1, {one, two, three}), start);
        REQUIRE_FALSE(leaver.plan_heartbeats(start, random).empty());
        REQUIRE(leaver.plan_heartbeats(start + 100ms, random).empty());
        heartbeat own;
        own.leaving = true;
        leaver.set_own(own);
        const auto round = leaver.plan_heartbeats(start + 200ms, random);
        REQUIRE(round.size() == 2);
        CHECK(round[0].message.sender.leaving);
        CHECK(round[1].message.sender.leaving);
        leaver.set_own(own);
        CHECK(leaver.plan_heartbeats(start + 300ms, random).empty());
    }
}

TEST_CASE("what is said under one name merges to the greatest stamp")
{
    member_table table(one, {100}, {});
    table.apply_list(list_of(1, {one, two}), start);
    table.receive(word_of(two, {1, {50}, 9}, 8), two, start);

    SECTION("late and repeated heartbeats change nothing")
    {
        CHECK_FALSE(table.receive(word_of(two, {1, {50}, 9}, 9), two, start));
        CHECK_FALSE(table.receive(word_of(two, {1, {50}, 3}, 2), two, start));
        CHECK(table.applied_versions(start).at(two).version == 8);
    }
    SECTION("a message under another name than the connection's is ignored")
    {
        CHECK_FALSE(table.receive(word_of(two, {9, {50}, 99}), vm_name{"riga-3"}, start));
    }
    SECTION("a restarted process learns its predecessor's stamp and goes above it")
    {
        member_table restarted(two, {7}, {}); // a lower incarnation than the predecessor's
        restarted.apply_list(list_of(1, {one, two}), start);
        CHECK_FALSE(table.receive(word_of(two, restarted.own_stamp(), 1), two, start));
        auto echo = word_of(one, {1, {100}, 1});
        echo.about_receiver = table.find(two)->stamp;
        restarted.receive(echo, one, start);
        CHECK(table.receive(word_of(two, restarted.own_stamp(), 1), two, start));
        // Its version is its own, lower than the predecessor's.
        CHECK(table.applied_versions(start).at(two).version == 1);
        CHECK(table.applied_versions(start).at(two).process == incarnation{7});
        CHECK_FALSE(restarted.name_taken());
    }
}

TEST_CASE("of two living processes of one name the lower incarnation gives way")
{
    member_table low(two, {7}, {});
    member_table high(two, {50}, {});
    for (int i = 0; i < 20; ++i) {
        auto echo = word_of(one, {1, {100}, 1});
        echo.about_receiver = high.own_stamp();
        low.receive(echo, one, start);
        echo.about_receiver = low.own_stamp();
        high.receive(echo, one, start);
    }
    CHECK(low.name_taken());
    CHECK_FALSE(high.name_taken());
    CHECK(high.own_stamp() > low.own_stamp());
}

TEST_CASE("a process that slept is told so")
{
    member_table table(one, {100}, {});
    CHECK_FALSE(table.tick(start).woke_after_pause);
    CHECK_FALSE(table.tick(start + 1s).woke_after_pause);
    CHECK(table.tick(start + 31s).woke_after_pause == 30s);
    CHECK_FALSE(table.tick(start + 32s).woke_after_pause);
}

TEST_CASE("rendezvous ranks agree on every VM and move few names")
{
    std::vector<vm_name> names;
    names.reserve(10);
    for (int i = 0; i < 10; ++i) {
        names.emplace_back("vm-" + std::to_string(i));
    }
    const auto ranked = rank_by_rendezvous("riga-a", names);
    std::reverse(names.begin(), names.end());
    CHECK(rank_by_rendezvous("riga-a", names) == ranked);
    std::erase(names, ranked[0]);
    const auto without_first = rank_by_rendezvous("riga-a", names);
    CHECK(std::equal(without_first.begin(), without_first.end(), ranked.begin() + 1));
}
