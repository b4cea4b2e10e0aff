#include "cardamomstream/request/ticket_book.h"
#include "cardamomstream/request/ticket_codec.h"
#include "cardamomstream/request/ticket_routing.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const customer_name filing{"filing"};
const customer_name dairy{"dairy"};
const route_name declare{"declare"};
const request_digest body = digest_request("POST", "/declarations", "line 1");
const request_digest other_body = digest_request("POST", "/declarations", "line 2");
const time_point start = time_point{} + 1h;

ticket_settings small_settings()
{
    ticket_settings settings;
    settings.max_tickets_per_customer = 4;
    settings.max_kept_answer_bytes = 100;
    return settings;
}

ticket_book book_of(const std::string& vm, std::uint64_t process)
{
    return {
        {vm_name{vm}, {process}}, ticket_key{static_cast<std::uint8_t>(process)}, small_settings(), start};
}

std::string text_of(ticket_book& book, time_point now)
{
    return book.issue(filing, declare, now).value().text;
}

const error& refusal(const begin_decision& decision)
{
    REQUIRE(std::holds_alternative<error>(decision));
    return std::get<error>(decision);
}

ticket_id granted(const begin_decision& decision)
{
    REQUIRE(std::holds_alternative<run_granted>(decision));
    return std::get<run_granted>(decision).id;
}

kept_answer answer_of(std::size_t bytes)
{
    return {201, {}, std::string(bytes, 'x')};
}

} // namespace

TEST_CASE("a ticket runs once and then replays its answer")
{
    auto book = book_of("riga-1", 1);
    const auto text = text_of(book, start);
    const auto begin = [&](time_point now) { return book.begin(text, filing, declare, body, now); };
    const auto id = granted(begin(start + 1s));

    SECTION("a second copy that arrives meanwhile is answered with the time until no run can take effect")
    {
        const auto copy = begin(start + 2s);
        REQUIRE(std::holds_alternative<still_running>(copy));
        CHECK(std::get<still_running>(copy).retry_after == 38s);
    }
    SECTION("after the first byte there is no second write")
    {
        CHECK(book.authorise_write(id, start + 1s));
        CHECK(book.authorise_write(id, start + 1s).error().outcome == run_outcome::unknown);

        SECTION("a complete answer is replayed")
        {
            REQUIRE(book.finish(id, answer_of(50), start + 2s));
            const auto copy = begin(start + 3s);
            REQUIRE(std::holds_alternative<replay_answer>(copy));
            CHECK(std::get<replay_answer>(copy).answer.status == 201);
        }
        SECTION("after a lost answer the outcome stays unknown and is never reported as not run")
        {
            const auto failed =
                book.fail_not_run(id, {error_kind::upstream_failed, "reset", "", {}, {}}, start + 2s);
            CHECK(failed.outcome == run_outcome::unknown);
            CHECK(failed.retry_after == 38s);
            CHECK(refusal(begin(start + 3s)).kind == error_kind::outcome_unknown);
        }
    }
    SECTION("a run of which no byte was sent may begin again")
    {
        const auto failed =
            book.fail_not_run(id, {error_kind::upstream_unavailable, "no upstream", "", {}, {}}, start + 2s);
        CHECK(failed.kind == error_kind::upstream_unavailable);
        CHECK(failed.outcome == run_outcome::not_run);
        CHECK(granted(begin(start + 3s)) == id);
    }
    SECTION("a process suspended between begin and the first write does not write after the run-by time")
    {
        const auto late = book.authorise_write(id, start + 30s);
        REQUIRE(!late);
        CHECK(late.error().kind == error_kind::ticket_refused);
        CHECK(late.error().outcome == run_outcome::not_run);
        const auto answered = book.fail_not_run(id, late.error(), start + 30s);
        CHECK(answered.kind == error_kind::ticket_refused);
        CHECK(answered.outcome == run_outcome::not_run);
        CHECK(refusal(begin(start + 31s)).outcome == run_outcome::not_run);
        CHECK(book.running() == 0);
    }
}

TEST_CASE("a ticket runs only what it was issued for")
{
    auto book = book_of("riga-1", 1);
    const auto text = text_of(book, start);

    SECTION("not for another customer or another route")
    {
        CHECK(refusal(book.begin(text, dairy, declare, body, start)).kind == error_kind::ticket_refused);
        CHECK(refusal(book.begin(text, filing, route_name{"other"}, body, start)).kind ==
              error_kind::ticket_refused);
        CHECK(book.running() == 0);
    }
    SECTION("not with a forged MAC or a changed field")
    {
        auto forged = read_ticket(text).value();
        forged.run_by += 1h;
        const auto longer = write_ticket(forged, ticket_key{99});
        CHECK(refusal(book.begin(longer, filing, declare, body, start)).kind == error_kind::ticket_refused);
        forged.id.number = 77;
        const auto absent = write_ticket(forged, ticket_key{99});
        CHECK(refusal(book.begin(absent, filing, declare, body, start)).outcome == run_outcome::not_run);
        for (const std::string broken : {"", ".", "a.b", "W10.", "!!!.AAAA"}) {
            CHECK(refusal(book.begin(broken, filing, declare, body, start)).kind ==
                  error_kind::ticket_refused);
        }
    }
    SECTION("not with another body once it has run")
    {
        const auto id = granted(book.begin(text, filing, declare, body, start));
        REQUIRE(book.authorise_write(id, start));
        REQUIRE(book.finish(id, answer_of(1), start));
        const auto other = refusal(book.begin(text, filing, declare, other_body, start + 1s));
        CHECK(other.kind == error_kind::ticket_refused);
        CHECK(other.outcome == run_outcome::unknown);
        CHECK(other.retry_after == 39s);
    }
    SECTION("not after its run-by time")
    {
        CHECK(refusal(book.begin(text, filing, declare, body, start + 30s)).outcome == run_outcome::not_run);
    }
    SECTION("once its record is dropped the outcome is unknown and it never runs")
    {
        book.expire(start + 40s);
        CHECK(book.size() == 0);
        const auto late = refusal(book.begin(text, filing, declare, body, start + 40s));
        CHECK(late.outcome == run_outcome::unknown);
    }
}

TEST_CASE("memory of tickets and answers is bounded")
{
    auto book = book_of("riga-1", 1);

    SECTION("a customer at its limit is refused with Retry-After and other customers are still served")
    {
        for (int i = 0; i < 4; ++i) {
            REQUIRE(book.issue(filing, declare, start));
        }
        const auto full = book.issue(filing, declare, start + 10s);
        REQUIRE(!full);
        CHECK(full.error().kind == error_kind::overloaded);
        CHECK(full.error().retry_after == 30s);
        CHECK(book.issue(dairy, declare, start + 10s));
        CHECK(book.issue(filing, declare, start + 40s));
    }
    SECTION("the oldest answers are evicted and their calls are not run again")
    {
        std::vector<std::string> texts;
        for (int i = 0; i < 3; ++i) {
            texts.push_back(text_of(book, start));
            const auto id = granted(book.begin(texts.back(), filing, declare, body, start));
            REQUIRE(book.authorise_write(id, start));
            REQUIRE(book.finish(id, answer_of(40), start));
        }
        CHECK(book.kept_answer_bytes() == 80);
        CHECK(refusal(book.begin(texts[0], filing, declare, body, start)).kind ==
              error_kind::outcome_unknown);
        CHECK(std::holds_alternative<replay_answer>(book.begin(texts[2], filing, declare, body, start)));
        book.expire(start + 1h);
        CHECK(book.kept_answer_bytes() == 0);
        CHECK(book.size() == 0);
    }
}

TEST_CASE("a planned stop moves tickets to one successor")
{
    auto leaver = book_of("riga-1", 1);
    auto successor = book_of("riga-2", 2);
    const auto unused = text_of(leaver, start);
    const auto used = text_of(leaver, start);
    const auto running = text_of(leaver, start);
    const auto id = granted(leaver.begin(used, filing, declare, body, start));
    REQUIRE(leaver.authorise_write(id, start));
    REQUIRE(leaver.finish(id, answer_of(5), start));
    granted(leaver.begin(running, filing, declare, body, start));

    const auto value = leaver.hand_over(successor.invite(start + 1s), start + 5s);
    REQUIRE(value.tickets.size() == 2);
    REQUIRE(successor.take_over(value, start + 20s).value() == 2);

    SECTION("the stopping VM passes their calls on and issues no more")
    {
        const auto asked = leaver.begin(unused, filing, declare, body, start + 6s);
        REQUIRE(std::holds_alternative<pass_on>(asked));
        CHECK(std::get<pass_on>(asked).holder == successor.self());
        CHECK(leaver.issue(filing, declare, start + 6s).error().kind == error_kind::stopping);
        CHECK(
            std::holds_alternative<still_running>(leaver.begin(running, filing, declare, body, start + 6s)));
    }
    SECTION("the successor runs the unused one once and replays the kept answer")
    {
        granted(successor.begin(unused, filing, declare, body, start + 21s));
        CHECK(std::holds_alternative<still_running>(
            successor.begin(unused, filing, declare, body, start + 21s)));
        CHECK(
            std::holds_alternative<replay_answer>(successor.begin(used, filing, declare, body, start + 21s)));
    }
    SECTION("a slow hand-over shortens the run-by time and never extends it")
    {
        // 25 s remained at the hand-over; they are counted from the invitation, minus the clock margin.
        CHECK(refusal(successor.begin(unused, filing, declare, body, start + 25s + 500ms)).outcome ==
              run_outcome::not_run);
    }
    SECTION("a second delivery of the same value is refused")
    {
        CHECK(successor.take_over(value, start + 21s).error().kind == error_kind::invalid_argument);
        auto stranger = book_of("riga-3", 3);
        CHECK(!stranger.take_over(value, start + 21s));
    }
}

TEST_CASE("a ticket leads to the one process that may decide")
{
    auto book = book_of("riga-1", 1);
    const auto value = read_ticket(text_of(book, start)).value();
    const ticket_holder here{vm_name{"riga-2"}, {2}};
    const auto settle = book.max_settle_time();
    issuer_view issuer{true, false, incarnation{1}, {}};
    const auto route = [&](bool passed_on) { return route_ticket(value, here, issuer, passed_on, settle); };

    SECTION("another VM passes it to the issuer and no further")
    {
        CHECK(std::get<pass_on>(route(false)).holder == book.self());
        CHECK(std::holds_alternative<decide_here>(route(true)));
        CHECK(std::holds_alternative<decide_here>(route_ticket(value, book.self(), issuer, false, settle)));
    }
    SECTION("to the successor that the issuer named")
    {
        issuer.successor = ticket_holder{vm_name{"riga-3"}, {3}};
        CHECK(std::get<pass_on>(route(false)).holder == *issuer.successor);
        issuer.process = incarnation{7};
        CHECK(std::get<pass_on>(route(false)).holder == book.self());
    }
    SECTION("an issuer that fails or has restarted gives an unknown outcome with Retry-After")
    {
        issuer.suspected = true;
        CHECK(std::get<error>(route(false)).outcome == run_outcome::unknown);
        CHECK(std::get<error>(route(false)).retry_after == settle);
        // 30 s run window, 10 s settle time and 500 ms clock margin.
        CHECK(settle == 40s + 500ms);
        auto restarted = book_of("riga-1", 9);
        const auto text = text_of(book, start);
        CHECK(refusal(restarted.begin(text, filing, declare, body, start)).kind ==
              error_kind::outcome_unknown);
        const ticket_holder same_name{vm_name{"riga-1"}, {9}};
        issuer.suspected = false;
        CHECK(std::holds_alternative<error>(route_ticket(value, same_name, issuer, false, settle)));
    }
}
