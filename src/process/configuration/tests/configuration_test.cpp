#include "cardamomstream/process/reader_schedule.h"
#include "cardamomstream/process/start_decision.h"
#include "cardamomstream/process/version_store.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1h;

/// Counts its runs; a text that contains "bad" is invalid.
struct counting_parser {
    using value_type = std::string;
    int* runs;

    result<std::string> operator()(const version_document& document) const
    {
        ++*runs;
        if (document.text.find("bad") != std::string::npos) {
            return error{error_kind::invalid_rules, "line 1 is bad", "fix it", {}, {}};
        }
        return document.text;
    }
};

version_id id_of(version_number number, const std::string& text)
{
    return {number, digest_text(text)};
}

std::string rules_text(int changed_line)
{
    std::string text;
    for (int i = 0; i < 1'000; ++i) {
        text += "customers.c" + std::to_string(i) + " = { rate = " + (i == changed_line ? "9" : "400") +
                ", burst = 1200, regions = [\"riga\"] } # asked by: filing desk\n";
    }
    return text;
}

} // namespace

TEST_CASE("a version is applied whole or not at all and is never replaced by an older one")
{
    int runs = 0;
    version_store<counting_parser> store({&runs}, {});
    REQUIRE(store.offer(version_document{5, "five\n"}, start).verdict == offer_verdict::accepted);

    SECTION("a stale answer changes nothing and does not count as a confirmation")
    {
        const auto stale = store.offer(version_document{4, "four\n"}, start + 10s);
        CHECK(stale.verdict == offer_verdict::stale);
        CHECK(stale.reason->kind == error_kind::stale_version);
        CHECK(*store.value() == "five\n");
        CHECK(store.age(start + 10s) == 10s);
    }
    SECTION("the same version confirms without being parsed again")
    {
        CHECK(store.offer(version_document{5, "five\n"}, start + 10s).verdict == offer_verdict::already_held);
        CHECK(store.age(start + 11s) == 1s);
        CHECK(runs == 1);
    }
    SECTION("an invalid version is refused, remembered with its reason and parsed once")
    {
        for (int i = 0; i < 3; ++i) {
            const auto refused = store.offer(version_document{6, "bad\n"}, start);
            CHECK(refused.verdict == offer_verdict::refused);
            CHECK(refused.reason->message == "line 1 is bad");
        }
        CHECK(runs == 2);
        CHECK(store.refused().size() == 1);
        CHECK(store.current()->number == 5);
        CHECK(store.offer(version_document{7, "seven\n"}, start).verdict == offer_verdict::accepted);
    }
    SECTION("an oversized version is refused")
    {
        const auto refused = store.offer(version_document{6, std::string(2UL * 1024 * 1024, 'x')}, start);
        CHECK(refused.verdict == offer_verdict::refused);
        CHECK(runs == 1);
    }
}

TEST_CASE("peers exchange changed lines instead of whole documents")
{
    int runs = 0;
    version_store<counting_parser> ahead({&runs}, {});
    version_store<counting_parser> behind({&runs}, {});
    for (int version = 1; version <= 20; ++version) {
        ahead.offer(version_document{static_cast<version_number>(version), rules_text(version * 7)}, start);
        if (version == 1) {
            behind.offer(version_document{1, rules_text(7)}, start);
        }
    }
    const auto update = ahead.update_for(behind.current()).value();
    REQUIRE(std::holds_alternative<std::vector<version_delta>>(update));
    const auto& deltas = std::get<std::vector<version_delta>>(update);

    SECTION("deltas of twenty versions with one changed line each are small and parsed once")
    {
        std::size_t bytes = 0;
        for (const auto& delta : deltas) {
            bytes += delta_bytes(delta);
        }
        CHECK(bytes * 10 < ahead.text().size());
        runs = 0;
        CHECK(behind.offer(update, start).verdict == offer_verdict::accepted);
        CHECK(runs == 1);
        CHECK(behind.text() == ahead.text());
    }
    SECTION("deltas that produce another text are refused and the whole text is requested")
    {
        auto damaged = deltas;
        damaged.back().edits.front().added.front() += " ";
        CHECK(behind.offer(version_update{damaged}, start).verdict == offer_verdict::digest_mismatch);
        damaged.back().edits.front().first = 4'000'000;
        CHECK(behind.offer(version_update{damaged}, start).verdict == offer_verdict::digest_mismatch);
        CHECK(behind.current()->number == 1);
    }
    SECTION("deltas that start from another version are refused")
    {
        version_store<counting_parser> empty({&runs}, {});
        CHECK(empty.offer(update, start).verdict == offer_verdict::base_not_held);
        CHECK(std::holds_alternative<version_document>(ahead.update_for(empty.current()).value()));
        CHECK_FALSE(behind.update_for(ahead.current()));
    }
}

TEST_CASE("the number of readers is limited for any size of the fleet")
{
    std::vector<reader_candidate> live;
    live.reserve(970);
    for (int i = 0; i < 970; ++i) {
        live.push_back(
            {vm_name{"vm-" + std::to_string(i)}, data_centre_name{"dc-" + std::to_string(i % 99)}});
    }
    reader_settings settings;
    CHECK(choose_readers(live, settings).size() == 64);
    settings.max_readers = 1'000;
    CHECK(choose_readers(live, settings).size() == 198);
    live.resize(3);
    CHECK(choose_readers(live, settings).size() == 3);
    CHECK(choose_readers({}, settings).empty());
}

TEST_CASE("reads of one VM stay within its budget")
{
    std::mt19937_64 random(7);
    reader_settings settings;
    settings.reads_per_hour = 600;
    reader_schedule schedule(settings, start);
    const auto run_for = [&](std::chrono::milliseconds time, bool is_reader, bool answers, time_point& now) {
        for (const time_point end = now + time; now < end; now += 100ms) {
            if (schedule.next(is_reader, now, random).action == read_action::wait) {
                continue;
            }
            if (answers) {
                schedule.read_succeeded(now);
            }
            else {
                schedule.read_failed(now, random);
            }
        }
    };
    time_point now = start;

    SECTION("a reader whose watches all return at once")
    {
        run_for(1h, true, true, now);
        CHECK(schedule.reads() <= 610);
        CHECK(schedule.reads() > 500);
    }
    SECTION("a service that is down is asked at growing intervals")
    {
        run_for(1h, false, false, now);
        CHECK(schedule.reads() < 400);
        CHECK(schedule.reads() > 100);
    }
    SECTION("a VM with confirmations from peers reads once at its start, and again without them")
    {
        for (int i = 0; i < 600; ++i) {
            schedule.confirmed_by_peer(now);
            run_for(1s, false, true, now);
        }
        CHECK(schedule.reads() == 1);
        run_for(11s, false, true, now);
        CHECK(schedule.reads() >= 2);
    }
    SECTION("a VM that was suspended reads at once")
    {
        run_for(1s, false, true, now);
        schedule.woke_after_pause();
        CHECK(schedule.next(false, now, random).action == read_action::read);
        CHECK(schedule.next(false, now, random).action == read_action::wait);
    }
}

TEST_CASE("a VM serves only once it holds the highest version known")
{
    const vm_name one{"riga-1"};
    const vm_name two{"riga-2"};
    start_decision starting({}, {one, two}, start);
    const auto old_version = id_of(4, "four");
    const auto new_version = id_of(5, "five");

    SECTION("the service is down: the highest version of the peers is used")
    {
        starting.service_failed();
        starting.peer_answered(one, old_version);
        CHECK(std::holds_alternative<start_wait>(starting.next({}, start)));
        starting.peer_answered(two, new_version);
        const auto step = starting.next({}, start);
        REQUIRE(std::holds_alternative<take_from_peer>(step));
        CHECK(std::get<take_from_peer>(step).vm == two);
        CHECK(std::holds_alternative<start_serving>(starting.next(new_version, start)));
        CHECK(std::holds_alternative<take_from_peer>(starting.next(old_version, start)));
    }
    SECTION("the service is stale: its answer is not used")
    {
        starting.service_answered(old_version);
        starting.peer_answered(one, new_version);
        starting.peer_failed(two);
        CHECK(std::holds_alternative<take_from_peer>(starting.next({}, start)));

        SECTION("unless the peers' version is refused here")
        {
            starting.mark_unusable(new_version);
            CHECK(std::holds_alternative<take_from_service>(starting.next({}, start)));
        }
    }
    SECTION("silent peers delay the start for a bounded time")
    {
        starting.service_answered(new_version);
        CHECK(std::holds_alternative<start_wait>(starting.next({}, start)));
        CHECK(std::holds_alternative<take_from_service>(starting.next({}, start + 1500ms)));
    }
    SECTION("nobody knows a version: it does not serve")
    {
        starting.service_failed();
        starting.peer_answered(one, {});
        starting.peer_failed(two);
        CHECK(std::holds_alternative<start_wait>(starting.next({}, start + 1h)));
    }
}
