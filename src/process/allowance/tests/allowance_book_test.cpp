#include "virtual_fleet.h"

#include <array>
#include <string>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace cardamomstream::testing;
using namespace std::chrono_literals;

namespace {

const customer_name filing{"filing"};
const time_point start{1000s};
constexpr token_rate whole_rate{400};
constexpr token_count whole_burst = 1200;

allowance_limits short_limits()
{
    allowance_limits limits;
    limits.loan_duration = 2s;
    limits.short_loan_duration = 2s;
    limits.clock_error = 0;
    limits.max_reservation_duration = 6s;
    limits.drift_margin = 100ms;
    limits.loan_timeout = 500ms;
    return limits;
}

rules_snapshot roster(version_number version, const std::vector<std::string>& vms)
{
    auto published = std::make_shared<rules>();
    published->version = version;
    for (const std::string& vm : vms) {
        published->vms[vm_name{vm}].region = region_name{vm.substr(0, 1)};
    }
    published->customers[filing].rate = whole_rate;
    published->customers[filing].burst = whole_burst;
    return published;
}

applied_versions seen(const std::vector<std::pair<std::string, version_number>>& versions)
{
    applied_versions others;
    for (const auto& [vm, version] : versions) {
        others.seen[vm_name{vm}] = version;
        others.listed.insert(vm_name{vm});
    }
    return others;
}

/// Book of one VM of {a1, a2} after its restart queries were answered, with level zero.
allowance_book ready_book(const std::string& self, std::uint64_t process = 1)
{
    allowance_book book{vm_name{self}, incarnation{process}, short_limits(), start};
    book.apply(roster(1, {"a1", "a2"}), seen({{"a1", 1}, {"a2", 1}}), start);
    const std::string other = self == "a1" ? "a2" : "a1";
    book.accept(restart_answer{vm_name{other}, vm_name{self}, incarnation{process}, {}}, start);
    return book;
}

double level(allowance_book& book, time_point now)
{
    return book.share(filing, now)->level;
}

double burst(allowance_book& book, time_point now)
{
    return book.share(filing, now)->burst;
}

/// Token bucket that refills to its full burst while reservations are open.
struct naive_bucket {
    double level = 0;
    void refill(double seconds) { level = std::min(1200.0, level + 400 * seconds); }
    bool reserve(double tokens) { return level >= tokens && (level -= tokens, true); }
};

} // namespace

TEST_CASE("an open reservation and the refilled level together stay within the burst")
{
    SECTION("a bucket that refills to its full burst gives twice the burst at one instant")
    {
        naive_bucket bucket{1200};
        REQUIRE(bucket.reserve(1200));
        bucket.refill(3);
        CHECK(bucket.reserve(1200));
    }
    SECTION("the part refills only up to its burst less the open reservations")
    {
        allowance_book book = ready_book("a1");
        auto first = book.admit(filing, 600, start + 3s);
        REQUIRE(first);
        CHECK_FALSE(book.admit(filing, 1, start + 6s));
        book.settle(first.value(), 600, start + 6s);
        CHECK_FALSE(book.admit(filing, 1, start + 6s));
        CHECK(book.admit(filing, 600, start + 9s));
    }
    SECTION("tokens consumed while the answer runs let the level refill")
    {
        allowance_book book = ready_book("a1");
        auto first = book.admit(filing, 600, start + 3s);
        REQUIRE(first);
        book.consume(first.value(), 400, start + 4s);
        CHECK(level(book, start + 5s) == Approx(200));
        book.settle(first.value(), 500, start + 5s);
        CHECK(level(book, start + 5s) == Approx(300));
        book.settle(first.value(), 500, start + 5s);
        CHECK(level(book, start + 5s) == Approx(300));
    }
}

TEST_CASE("a refusal names its kind and remedy")
{
    allowance_book book = ready_book("a1");

    SECTION("waiting for the refill")
    {
        const auto refused = book.admit(filing, 100, start + 100ms);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == error_kind::allowance_exhausted);
        CHECK(refused.error().outcome == run_outcome::not_run);
        CHECK(refused.error().retry_after == 400ms);
        CHECK(book.admit(filing, 100, start + 500ms));
    }
    SECTION("a smaller answer when the request exceeds the customer's burst")
    {
        const auto refused = book.admit(filing, 1201, start + 1h);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == error_kind::invalid_argument);
        CHECK(refused.error().remedy.find("lower max_tokens") != std::string::npos);
        CHECK_FALSE(refused.error().retry_after);
    }
    SECTION("a rule when the customer is unknown")
    {
        CHECK(book.admit(customer_name{"nobody"}, 1, start).error().kind == error_kind::not_found);
        CHECK(book.admit(filing, 0, start).error().kind == error_kind::invalid_argument);
    }
    SECTION("another VM when residency excludes this region")
    {
        auto published = std::make_shared<rules>(*roster(2, {"a1", "a2", "b1"}));
        published->customers[filing].regions = {region_name{"b"}};
        book.apply(published, seen({{"a1", 2}, {"a2", 2}, {"b1", 2}}), start);
        CHECK(book.admit(filing, 1, start + 1h).error().kind == error_kind::no_permitted_region);
    }
}

TEST_CASE("a loan never counts twice")
{
    allowance_book lender = ready_book("a1");
    allowance_book borrower = ready_book("a2");
    const time_point full = start + 10s;
    auto own = borrower.admit(filing, 600, full);
    REQUIRE(own);
    borrower.settle(own.value(), 600, full);
    const auto request = borrower.plan_loan(filing, 500, full);
    REQUIRE(request);
    const loan_answer answer = lender.lend(*request, full);

    SECTION("the lender subtracts it before it answers")
    {
        CHECK(answer.lent.level >= 500);
        CHECK(level(lender, full) == Approx(600 - answer.lent.level));
        CHECK(burst(lender, full) == Approx(600 - answer.lent.burst));
    }
    SECTION("a duplicate request gets the same answer and takes nothing more")
    {
        const double before = level(lender, full);
        CHECK(lender.lend(*request, full).lent.level == answer.lent.level);
        CHECK(level(lender, full) == before);
    }
    SECTION("a duplicate answer is used once")
    {
        borrower.accept(answer, full);
        const double once = level(borrower, full);
        borrower.accept(answer, full);
        CHECK(level(borrower, full) == once);
    }
    SECTION("an answer that comes after the time limit is returned unused")
    {
        borrower.advance(full + 501ms);
        borrower.accept(answer, full + 502ms);
        CHECK(burst(borrower, full + 502ms) == Approx(600));
        for (const loan_return& returned : borrower.take_returns()) {
            lender.accept(returned, full + 502ms);
            lender.accept(returned, full + 502ms);
        }
        CHECK(burst(lender, full + 502ms) == Approx(600));
    }
    SECTION("a duplicate return adds its level once")
    {
        const double before = level(lender, full);
        const loan_return returned{request->id, vm_name{"a1"}, filing, 0, 50, false};
        lender.accept(returned, full);
        lender.accept(returned, full);
        CHECK(level(lender, full) == Approx(before + 50));
    }
    SECTION("a request that arrives after its return lends nothing")
    {
        loan_request late = *request;
        late.id.number += 100;
        lender.accept(loan_return{late.id, vm_name{"a1"}, filing, 0, 0, true}, full);
        CHECK(lender.lend(late, full).lent.level == 0);
    }
    SECTION("the level of a loan that expired without a return does not come back")
    {
        const double before = level(lender, full);
        const double rate = lender.share(filing, full)->rate.per_second;
        CHECK(level(lender, full + 2s) == Approx(std::min(before + rate * 2, burst(lender, full))));
    }
}

TEST_CASE("a loan ends for its borrower before it ends for its lender")
{
    allowance_book lender = ready_book("a1");
    allowance_book borrower = ready_book("a2");
    const time_point sent = start + 10s;
    const auto request = borrower.plan_loan(filing, 1000, sent);
    REQUIRE(request);
    borrower.accept(lender.lend(*request, sent + 300ms), sent + 400ms);
    REQUIRE(burst(borrower, sent + 400ms) >= 1000);

    SECTION("a process that was paused past the end does not use it")
    {
        CHECK_FALSE(borrower.admit(filing, 1000, sent + 1900ms));
        CHECK(burst(borrower, sent + 1900ms) == Approx(600));
    }
    SECTION("burst that covers an answer longer than the loan stays away from the lender")
    {
        auto open = borrower.admit(filing, 1000, sent + 1s);
        REQUIRE(open);
        CHECK_FALSE(borrower.admit(filing, 1, sent + 5s));
        CHECK(burst(lender, sent + 2400ms) <= Approx(200));
        const loan_request other{{vm_name{"a1"}, {1}, 77}, vm_name{"a2"}, filing,
                                 {whole_rate, 100, 100},   100,           1s};
        CHECK(borrower.lend(other, sent + 5s).lent.level == 0);
        for (const loan_return& returned : borrower.take_returns()) {
            CHECK(returned.burst_kept == Approx(400));
            lender.accept(returned, sent + 5s);
        }
        CHECK(burst(lender, sent + 5s) == Approx(200));
        borrower.settle(open.value(), 1000, sent + 6s);
        for (const loan_return& returned : borrower.take_returns()) {
            lender.accept(returned, sent + 6s);
        }
        CHECK(burst(lender, sent + 6s) == Approx(600));
    }
    SECTION("without a return from the borrower it comes back after the longest answer")
    {
        CHECK(burst(lender, sent + 8200ms) <= Approx(200));
        CHECK(burst(lender, sent + 8300ms) == Approx(600));
    }
}

TEST_CASE("borrowed allowance that is lent on ends no later than the loan that it comes from")
{
    allowance_book lender = ready_book("a1");
    allowance_book intermediary = ready_book("a2");
    const time_point sent = start + 10s;
    const auto first = intermediary.plan_loan(filing, 1000, sent);
    REQUIRE(first);
    intermediary.accept(lender.lend(*first, sent), sent);
    const loan_request second{{vm_name{"a3"}, {3}, 1}, vm_name{"a2"}, filing, {{0}, 900, 900}, 900, 2s};

    SECTION("while that loan lasts for the minimum duration")
    {
        const loan_answer answer = intermediary.lend(second, sent + 500ms);
        CHECK(answer.lent.burst == Approx(900));
        CHECK(answer.duration == 1400ms);
        CHECK(burst(intermediary, sent + 500ms) == Approx(100));
        CHECK(burst(intermediary, sent + 1900ms) == 0);
        for (const loan_return& returned : intermediary.take_returns()) {
            CHECK(returned.burst_kept == Approx(300));
        }
    }
    SECTION("otherwise only the own part is lent")
    {
        CHECK(intermediary.lend(second, sent + 1s).lent.burst == Approx(600));
    }
}

TEST_CASE("a clock that runs fast by the allowed error refills no faster than the rate")
{
    allowance_limits limits = short_limits();
    limits.clock_error = 0.01;
    allowance_book book{vm_name{"a1"}, incarnation{1}, limits, start};
    book.apply(roster(1, {"a1"}), seen({{"a1", 1}}), start);
    CHECK(level(book, start + 1010ms) <= 400);
    CHECK(level(book, start + 1010ms) > 399);
}

TEST_CASE("a restarted VM does not use what its predecessor lent")
{
    allowance_book predecessor = ready_book("a1", 1);
    allowance_book borrower = ready_book("a2");
    const time_point sent = start + 10s;
    const auto request = borrower.plan_loan(filing, 1000, sent);
    REQUIRE(request);
    const loan_answer answer = predecessor.lend(*request, sent);
    const time_point restart = sent + 100ms;
    allowance_book successor{vm_name{"a1"}, incarnation{2}, short_limits(), restart};
    successor.apply(roster(1, {"a1", "a2"}), seen({{"a1", 1}, {"a2", 1}}), restart);

    SECTION("it holds and lends nothing until the borrower answers or the longest loan and answer have ended")
    {
        CHECK(successor.restarting());
        CHECK(burst(successor, restart) == 0);
        CHECK(successor.applied_version(restart) == 0);
        successor.advance(restart + 7900ms);
        CHECK(burst(successor, restart + 7900ms) == 0);
        CHECK(successor.lend(*request, restart + 7900ms).lent.burst == 0);
        successor.advance(restart + 8s);
        CHECK(burst(successor, restart + 8s) == Approx(600));
        CHECK(level(successor, restart + 8s) == 0);
    }
    SECTION("it learns from the borrower what is still lent")
    {
        borrower.accept(answer, sent + 10ms);
        auto open = borrower.admit(filing, 1000, sent + 10ms);
        REQUIRE(open);
        successor.accept(borrower.answer_restart(successor.make_restart_query(), restart), restart);
        CHECK_FALSE(successor.restarting());
        CHECK(burst(successor, restart) <= Approx(200));
        CHECK(burst(successor, restart + 2s) + 1000 <= 1200 + 1e-6);
        CHECK(burst(successor, restart + 9s) == Approx(600));
    }
    SECTION("a loan answer of the predecessor that arrives after the restart query is not used")
    {
        successor.accept(borrower.answer_restart(successor.make_restart_query(), restart), restart);
        borrower.accept(answer, restart + 1ms);
        CHECK(burst(borrower, restart + 1ms) == Approx(600));
        CHECK(burst(successor, restart + 1ms) == Approx(600));
    }
    SECTION("an answer to another incarnation does not count")
    {
        restart_answer stale = borrower.answer_restart(successor.make_restart_query(), restart);
        stale.to_process = incarnation{7};
        successor.accept(stale, restart);
        CHECK(successor.restarting());
    }
}

TEST_CASE("a partly distributed roster never assigns the same part twice")
{
    allowance_book book = ready_book("a1");
    const time_point later = start + 10s;

    SECTION("the own part shrinks at once")
    {
        book.apply(roster(2, {"a1", "a2", "a3"}), seen({{"a1", 1}, {"a2", 1}, {"a3", 0}}), later);
        CHECK(burst(book, later) == Approx(400));
    }
    SECTION("it grows when every listed VM runs the newer version")
    {
        book.apply(roster(2, {"a1"}), seen({{"a1", 2}, {"a2", 1}}), later);
        CHECK(burst(book, later) == Approx(600));
        book.apply(roster(2, {"a1"}), seen({{"a1", 2}, {"a2", 2}}), later);
        CHECK(burst(book, later) == Approx(1200));
    }
    SECTION("it grows when the VM that held more is removed from the list")
    {
        book.apply(roster(2, {"a1"}), seen({{"a1", 2}}), later);
        CHECK(burst(book, later) == Approx(1200));
    }
    SECTION("a VM counts as running a version only when its open answers fit into the new part")
    {
        auto open = book.admit(filing, 600, later);
        REQUIRE(open);
        book.apply(roster(2, {"a1", "a2", "a3"}), seen({{"a1", 1}, {"a2", 2}, {"a3", 2}}), later);
        CHECK(book.applied_version(later) == 1);
        book.settle(open.value(), 600, later + 1s);
        CHECK(book.applied_version(later + 1s) == 2);
    }
    SECTION("a new VM holds nothing while another may run a version that it does not know")
    {
        allowance_book fresh{vm_name{"a3"}, incarnation{9}, short_limits(), later};
        const auto published = roster(2, {"a1", "a2", "a3"});
        fresh.apply(published, seen({{"a1", 2}, {"a2", 1}, {"a3", 0}}), later);
        fresh.accept(book.answer_restart(fresh.make_restart_query(), later), later);
        fresh.accept(restart_answer{vm_name{"a2"}, vm_name{"a3"}, incarnation{9}, {}}, later);
        CHECK(burst(fresh, later) == 0);
        fresh.apply(published, seen({{"a1", 3}, {"a2", 2}, {"a3", 0}}), later);
        CHECK(burst(fresh, later) == 0);
        CHECK_FALSE(fresh.knows_versions(later));
        CHECK(fresh.knows_versions(later + 8s)); // the longest loan and answer
        fresh.apply(published, seen({{"a1", 2}, {"a2", 2}, {"a3", 0}}), later);
        CHECK(burst(fresh, later) == Approx(400));
        CHECK(fresh.knows_versions(later));
    }
    SECTION("a VM that skipped a version holds nothing while another may run it")
    {
        book.apply(roster(3, {"a1", "a2"}), seen({{"a1", 3}, {"a2", 1}}), later);
        CHECK(burst(book, later) == 0);
        CHECK(book.knows_versions(later));
        applied_versions others = seen({{"a1", 3}, {"a2", 1}});
        others.unchanged = {{1, 3}};
        SECTION("unless a peer reports that no part changed in between")
        {
            book.apply(roster(3, {"a1", "a2"}), others, later);
            CHECK(burst(book, later) == Approx(600));
        }
        SECTION("until all run the newer one")
        {
            book.apply(roster(3, {"a1", "a2"}), seen({{"a1", 3}, {"a2", 3}}), later);
            CHECK(burst(book, later) == Approx(600));
        }
    }
    SECTION("a new VM does not wait for versions that changed only other rules")
    {
        book.apply(roster(2, {"a1", "a2"}), seen({{"a1", 2}, {"a2", 1}}), later);
        allowance_book fresh{vm_name{"a1"}, incarnation{9}, short_limits(), later};
        applied_versions others = seen({{"a1", 2}, {"a2", 1}});
        fresh.accept(restart_answer{vm_name{"a2"}, vm_name{"a1"}, incarnation{9}, {}}, later);
        fresh.apply(roster(2, {"a1", "a2"}), others, later);
        CHECK(burst(fresh, later) == 0);
        others.unchanged = {book.unchanged_parts()};
        fresh.apply(roster(2, {"a1", "a2"}), others, later);
        CHECK(burst(fresh, later) == Approx(600));
    }
}

TEST_CASE("the number of customers in a demand summary is limited")
{
    auto published = std::make_shared<rules>(*roster(2, {"a1", "a2"}));
    for (int number = 0; number < 920; ++number) {
        published->customers[customer_name{"c" + std::to_string(number)}] = published->customers[filing];
    }
    allowance_book book = ready_book("a1");
    book.apply(published, seen({{"a1", 2}, {"a2", 2}}), start);
    CHECK(book.summarise(start + 1s).customers.size() == short_limits().max_summary_customers);
}

TEST_CASE("a request larger than one part borrows from several VMs")
{
    fleet_options options;
    options.loans_ahead = false;
    virtual_fleet fleet{1, short_limits(), options};
    const std::vector<std::string> vms{"a1", "a2", "b1", "b2", "c1", "c2"};
    fleet.meter("filing", whole_rate, whole_burst);
    for (const std::string& vm : vms) {
        fleet.add_vm(vm, vm.substr(0, 1));
        fleet.deliver(vm, roster(1, vms));
        fleet.start(vm);
    }
    std::optional<bool> admitted;
    virtual_time answered{0};
    const auto ask = [&](token_count charge) {
        fleet_request wanted{filing, charge, charge, 10ms, 1, 1s, {}};
        wanted.on_decision = [&](bool value) {
            admitted = value;
            answered = fleet.now();
        };
        fleet.request("a1", wanted);
    };
    fleet.run_until(20s);

    SECTION("the whole burst within three round trips when all are full")
    {
        ask(1200);
        fleet.run_until(22s);
        CHECK(admitted == true);
        CHECK(answered - 20s < 500ms);
        CHECK(fleet.meter_of("filing").received() == 1200);
    }
    SECTION("nothing beyond the burst")
    {
        ask(1201);
        fleet.run_until(22s);
        CHECK(admitted == false);
    }
}

TEST_CASE("a partitioned region continues to serve from its own parts")
{
    virtual_fleet fleet{1, short_limits(), {}};
    const std::vector<std::string> vms{"a1", "a2", "b1", "b2", "c1", "c2"};
    fleet.meter("filing", whole_rate, whole_burst);
    for (const std::string& vm : vms) {
        fleet.add_vm(vm, vm.substr(0, 1));
        fleet.deliver(vm, roster(1, vms));
        fleet.start(vm);
    }
    fleet.run_until(10s);
    fleet.set_group("a1", 1);
    fleet.set_group("a2", 1);

    SECTION("for longer than any loan and any answer with demand at its rate at one VM")
    {
        int served = 0;
        int refused = 0;
        for (int number = 0; number < 300; ++number) {
            fleet.run_until(30s + 500ms * number);
            fleet_request wanted{filing, 50, 50, 100ms, 1, 200ms, {}};
            wanted.on_decision = [&](bool value) { ++(value ? served : refused); };
            fleet.request("a1", wanted);
        }
        fleet.run_until(200s);
        CHECK(served == 300);
        CHECK(refused == 0);
    }
    SECTION("also after one of its VMs has restarted")
    {
        fleet.kill("a2");
        fleet.start("a2");
        int served = 0;
        fleet.run_until(40s);
        for (int number = 0; number < 100; ++number) {
            fleet.run_until(40s + 500ms * number);
            fleet_request wanted{filing, 25, 25, 100ms, 1, 200ms, {}};
            wanted.on_decision = [&](bool value) { served += value ? 1 : 0; };
            fleet.request("a2", wanted);
        }
        fleet.run_until(100s);
        CHECK(served == 100);
    }
}
