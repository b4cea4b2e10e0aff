#include "peer_fixture.h"

#include <chrono>
#include <ctime>
#include <thread>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

std::chrono::nanoseconds process_cpu_time()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec};
}

const loan_id some_loan{vm_name{"vm-a"}, incarnation{7}, 3};

} // namespace

TEST_CASE("each call reaches the other VM and brings its answer")
{
    auto handlers = quiet_handlers();
    calling_peer caller;

    SECTION("exchange names its sender")
    {
        vm_name sender;
        vm_name about;
        handlers.exchange = [&](const vm_name& from, const exchange_request& request) {
            sender = from;
            about = request.membership.sender.vm;
            return exchange_reply{version_id{9, {1}}};
        };
        running_peer peer(handlers);
        exchange_request request;
        request.membership.sender.vm = vm_name{"vm-a"};
        const auto reply = in_fiber(
            caller.thread, [&] { return caller.client.exchange(peer.address, request, call_limit); });
        REQUIRE(reply);
        CHECK(reply.value().version == version_id{9, {1}});
        CHECK(sender.str() == "vm-a");
        CHECK(about.str() == "vm-a");
    }
    SECTION("read configuration")
    {
        std::optional<version_id> asked;
        handlers.read_configuration = [&](const std::optional<version_id>& held) {
            asked = held;
            return read_configuration_reply{version_id{5, {}}, version_document{5, "text"}, 3ms};
        };
        running_peer peer(handlers);
        const auto reply = in_fiber(caller.thread, [&] {
            return caller.client.read_configuration(peer.address, version_id{4, {}}, call_limit);
        });
        REQUIRE(reply);
        CHECK(asked == version_id{4, {}});
        CHECK(std::get<version_document>(reply.value().update.value()).text == "text");
        CHECK(reply.value().confirmed_age == 3ms);
    }
    SECTION("borrow and return")
    {
        loan_return returned;
        handlers.borrow = [](const loan_request& request) {
            return loan_answer{request.id, request.lender, request.customer, request.wanted,
                               request.duration};
        };
        handlers.return_loan = [&](const loan_return& value) { returned = value; };
        running_peer peer(handlers);
        const loan_request request{some_loan, peer.address.vm, customer_name{"filing"}, {{2.5}, 30, 4}, 100,
                                   10s};
        const auto answer =
            in_fiber(caller.thread, [&] { return caller.client.borrow(peer.address, request, call_limit); });
        REQUIRE(answer);
        CHECK(answer.value().id == some_loan);
        CHECK(answer.value().lent.rate.per_second == 2.5);
        CHECK(answer.value().lent.burst == 30);
        CHECK(answer.value().lent.level == 4);
        CHECK(answer.value().duration == 10s);

        const loan_return value{some_loan, peer.address.vm, customer_name{"filing"}, 1.5, 2, true};
        CHECK(in_fiber(caller.thread,
                       [&] { return caller.client.return_loan(peer.address, value, call_limit); }));
        CHECK(returned.id == some_loan);
        CHECK(returned.burst_kept == 1.5);
        CHECK(returned.unused);
    }
    SECTION("ask for loans of a predecessor")
    {
        handlers.ask_restart = [](const restart_query& query) {
            return restart_answer{vm_name{"vm-b"},
                                  query.vm,
                                  query.process,
                                  {{some_loan, customer_name{"filing"}, {{1}, 2, 0}, 30ms, 40ms}}};
        };
        running_peer peer(handlers);
        const auto answer = in_fiber(caller.thread, [&] {
            return caller.client.ask_restart(peer.address, {vm_name{"vm-a"}, incarnation{8}}, call_limit);
        });
        REQUIRE(answer);
        CHECK(answer.value().to_process == incarnation{8});
        REQUIRE(answer.value().held.size() == 1);
        CHECK(answer.value().held[0].burst_left == 40ms);
    }
    SECTION("invite and hand over")
    {
        hand_over_invitation invitation{{vm_name{"vm-b"}, incarnation{5}}, 11};
        handlers.invite = [&] { return invitation; };
        handlers.hand_over = [&](const hand_over_message& value) -> result<std::size_t> {
            if (value.invitation.number != invitation.number) {
                return error{error_kind::ticket_refused, "not invited", "ask again", {}, {}};
            }
            return value.tickets.size();
        };
        running_peer peer(handlers);
        const auto invited =
            in_fiber(caller.thread, [&] { return caller.client.invite(peer.address, call_limit); });
        REQUIRE(invited);
        hand_over_message value{{vm_name{"vm-a"}, incarnation{1}}, invited.value(), {{}, {}}};
        const auto hand_over = [&] { return caller.client.hand_over(peer.address, value, call_limit); };
        CHECK(in_fiber(caller.thread, hand_over).value() == 2);
        value.invitation.number = 12;
        CHECK(in_fiber(caller.thread, hand_over).error().kind == error_kind::ticket_refused);
    }
}

TEST_CASE("a client counts its calls and their bytes")
{
    running_peer peer(quiet_handlers());
    calling_peer caller;
    const std::optional<version_id> held = version_id{4, {}};
    in_fiber(caller.thread,
             [&] { return caller.client.read_configuration(peer.address, held, call_limit).has_value(); });
    const auto counted = caller.client.counted();
    CHECK(counted.calls == 1);
    CHECK(counted.sent_bytes > 32);
    CHECK(counted.sent_bytes < 64);
    CHECK(counted.received_bytes == 0);
}

TEST_CASE("a message over the limit is refused before it is sent")
{
    running_peer peer(quiet_handlers());
    calling_peer caller;
    cancellation cancel;
    const auto refused = in_fiber(caller.thread, [&] {
        const std::string body(std::size_t{33} * 1024 * 1024, 'x');
        return caller.client.forward(peer.address, forwarded(body), cancel).error();
    });
    CHECK(refused.kind == error_kind::request_too_large);
    CHECK(refused.outcome == run_outcome::not_run);
    CHECK(caller.client.counted().calls == 0);
}

TEST_CASE("a second server on the same address is refused")
{
    running_peer first(quiet_handlers());
    traffic_thread control;
    traffic_group traffic{1};
    peer_server second(identity_of("vm-c"), control, traffic, quiet_handlers());
    const auto refused = second.listen(first.address.address);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == error_kind::invalid_settings);
    CHECK(refused.error().message.find(first.address.address.str()) != std::string::npos);
}

TEST_CASE("a VM that is not there is reported within the limit")
{
    const auto gone = [] { return running_peer(quiet_handlers()).address; }();
    calling_peer caller;
    const auto started = boot_clock::now();
    const auto failed = in_fiber(
        caller.thread, [&] { return caller.client.read_configuration(gone, std::nullopt, 2s).error(); });
    CHECK(failed.kind == error_kind::peer_unavailable);
    CHECK(failed.outcome == run_outcome::unknown);
    CHECK(boot_clock::now() - started < 4s);
}

TEST_CASE("calls wait without holding up their thread")
{
    auto handlers = quiet_handlers();
    std::promise<void> arrived;
    boost::fibers::promise<void> go;
    handlers.exchange = [&](const vm_name&, const exchange_request&) {
        arrived.set_value();
        go.get_future().wait();
        return exchange_reply{};
    };
    running_peer peer(handlers);
    calling_peer caller;
    auto slow = std::async(std::launch::async, [&] {
        return in_fiber(caller.thread, [&] { return caller.client.exchange(peer.address, {}, call_limit); });
    });
    arrived.get_future().wait();
    CHECK(in_fiber(caller.thread, [&] { return caller.client.invite(peer.address, call_limit); }));
    go.set_value();
    CHECK(slow.get());
}

TEST_CASE("an idle server and client use next to no processor time")
{
    constexpr auto observed = 2'000ms;
    constexpr auto allowed = observed * 21 / 1000; // the users' bound for control: 2.1 % of a core

    running_peer peer(quiet_handlers());
    calling_peer caller;
    REQUIRE(in_fiber(caller.thread, [&] { return caller.client.invite(peer.address, call_limit); }));

    const auto before = process_cpu_time();
    std::this_thread::sleep_for(observed);
    const auto used = process_cpu_time() - before;
    CAPTURE(std::chrono::duration<double, std::milli>(used).count());
    CHECK(used < allowed);
}
