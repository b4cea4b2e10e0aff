#include "cardamomstream/process/event_codec.h"
#include "cardamomstream/process/event_kind.h"
#include "cardamomstream/process/event_log.h"

#include <array>
#include <thread>

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

const time_point now{std::chrono::seconds{5}};
const std::chrono::system_clock::time_point wall{std::chrono::seconds{1'700'000'000}};

event_draft refusal(std::string reason)
{
    return {event_kind::request_refused, request_id{"r-1"}, {}, {{"reason", std::move(reason)}}};
}

} // namespace

TEST_CASE("the event log keeps the newest events and says how many it lost")
{
    event_log log{vm_name{"riga-a"}, incarnation{7}, 3};
    for (int i = 1; i <= 5; ++i) {
        CHECK(log.append(refusal(std::to_string(i)), now, wall).sequence == static_cast<std::uint64_t>(i));
    }

    SECTION("from the oldest")
    {
        const auto page = log.since(0, 10);
        REQUIRE(page.events.size() == 3);
        CHECK(page.events.front().ref == event_ref{vm_name{"riga-a"}, incarnation{7}, 3});
        CHECK(page.events.back().ref.sequence == 5);
        CHECK(page.lost == 2);
        CHECK(page.next == 5);
    }
    SECTION("page by page")
    {
        const auto first = log.since(2, 2);
        CHECK(first.events.size() == 2);
        CHECK(first.lost == 0);
        const auto second = log.since(first.next, 2);
        REQUIRE(second.events.size() == 1);
        CHECK(second.events[0].ref.sequence == 5);
        CHECK(log.since(second.next, 2).events.empty());
        CHECK(log.since(second.next, 2).next == 5);
    }
    SECTION("a sequence of a former incarnation asks for nothing")
    {
        CHECK(log.since(99, 2).events.empty());
        CHECK(log.since(99, 2).next == 5);
    }
}

TEST_CASE("events from many threads get each sequence once")
{
    event_log log{vm_name{"riga-a"}, incarnation{7}, 4000};
    {
        const auto append_many = [&log] {
            for (int n = 0; n < 1000; ++n) {
                log.append(refusal("x"), now, wall);
            }
        };
        const std::array<std::jthread, 4> threads{std::jthread{append_many}, std::jthread{append_many},
                                                  std::jthread{append_many}, std::jthread{append_many}};
    }
    const auto page = log.since(0, 5000);
    REQUIRE(page.events.size() == 4000);
    for (std::size_t i = 0; i < page.events.size(); ++i) {
        REQUIRE(page.events[i].ref.sequence == i + 1);
    }
}

TEST_CASE("no event shows a key")
{
    event_log log{vm_name{"riga-a"}, incarnation{7}, 3};
    log.append(refusal("bad header Bearer cs-cs-" + std::string(64, 'a') + " end"), now, wall);
    log.append(refusal("cs-" + std::string(63, 'a')), now, wall);
    log.append(refusal(std::string(10'000, 'x')), now, wall);
    const auto events = log.since(0, 3).events;
    CHECK(std::get<std::string>(events[0].fields[0].value) == "[redacted]");
    CHECK(std::get<std::string>(events[1].fields[0].value).starts_with("cs-"));
    CHECK(std::get<std::string>(events[2].fields[0].value).size() == max_event_text_bytes);
}

TEST_CASE("events survive JSON")
{
    event_page page;
    page.next = 9;
    page.lost = 2;
    page.events.push_back(event{{vm_name{"riga-a"}, incarnation{0xFEDCBA9876543210U}, 8},
                                now,
                                wall + std::chrono::nanoseconds{123},
                                event_kind::request_routed,
                                request_id{"r \"1\"\n"},
                                event_ref{vm_name{"riga-b"}, incarnation{1}, 3},
                                {{"upstream", std::string{"riga-w1"}},
                                 {"predicted_ms", 12.5},
                                 {"candidates", std::int64_t{3}},
                                 {"sent_away", false}}});
    page.events.push_back(
        event{{vm_name{"riga-a"}, incarnation{2}, 9}, now, wall, event_kind::loan_asked, {}, {}, {}});

    const auto read = read_event_page(write_event_page(page));
    REQUIRE(read);
    CHECK(read.value().events == page.events);
    CHECK(read.value().next == 9);
    CHECK(read.value().lost == 2);

    SECTION("a kind of another release is kept as unknown")
    {
        std::string text = write_event_page(page);
        text.replace(text.find("request_routed"), 14, "request_folded");
        CHECK(read_event_page(text).value().events[0].kind == event_kind::unknown);
    }
    SECTION("other text is refused")
    {
        for (const auto* text : {"", "[]", "{}", R"({"events":[{}],"next":1,"lost":0})",
                                 R"({"events":[],"next":-1,"lost":0})"}) {
            CHECK_FALSE(read_event_page(text));
        }
    }
}

TEST_CASE("every kind of event has one word")
{
    for (int i = 0; i <= static_cast<int>(event_kind::unknown); ++i) {
        const auto kind = static_cast<event_kind>(i);
        CHECK(event_kind_of(word_of(kind)) == kind);
        CHECK_FALSE(phrase_of(kind).empty());
    }
}
