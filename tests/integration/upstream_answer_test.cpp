#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

const std::string body = R"({"declaration":"2026-Q4"})";

/// Time until a request has reached the upstream.
constexpr std::chrono::milliseconds arrival{700};
constexpr std::chrono::seconds answer_limit{20};

} // namespace

TEST_CASE("a call that has reached an upstream is never answered not run by a later attempt")
{
    fleet fleet(one_region(programs(), 1));
    fleet.set_upstream_fault("riga-f1", "kind=delay&ms=5000");
    http_caller caller(fleet.entry("riga-a"), answer_limit);
    REQUIRE(caller.start(status_call));
    std::this_thread::sleep_for(arrival);
    REQUIRE(fleet.seen("riga-f1").at("total") == 1);
    fleet.kill("riga-f1"); // connections of later attempts are refused
    const auto received = caller.finish();
    REQUIRE(received);
    CHECK(received.value().status >= 500);
    CHECK(received.value().error_outcome() == "unknown");
}

TEST_CASE("the error of a stream that broke off never stands inside an event")
{
    const fleet fleet(one_region(programs(), 1));
    fleet.set_upstream_fault("riga-w1", "kind=close_inside_event");
    http_caller caller(fleet.entry("riga-a"), answer_limit);
    REQUIRE(caller.begin(chat_call(keys::carrier, "ledger", 5, true)));
    REQUIRE(caller.next_event());
    const auto last = caller.next_event();
    const bool spoiled = last && last.value() && last.value()->find("error") != std::string::npos &&
                         last.value()->find("event: error") != 0;
    CHECK_FALSE(spoiled);
}

TEST_CASE("a stream that an upstream ends inside an event, with its last chunk, never looks whole")
{
    const auto ends_in_order = [](const fleet& vms, const std::string& key) {
        http_caller caller(vms.entry("riga-a"), answer_limit);
        REQUIRE(caller.begin(chat_call(key, "ledger", 5, true)));
        auto event = caller.next_event();
        REQUIRE(event);
        while (event && event.value()) {
            event = caller.next_event();
        }
        return event.has_value();
    };
    SECTION("at the VM that its caller asks")
    {
        const fleet vms(one_region(programs(), 1));
        CHECK(ends_in_order(vms, keys::carrier));
        vms.set_upstream_fault("riga-w1", "kind=end_inside_event");
        CHECK_FALSE(ends_in_order(vms, keys::carrier));
    }
    SECTION("over a hop")
    {
        const fleet vms(two_regions(programs()));
        CHECK(ends_in_order(vms, keys::bound));
        vms.set_upstream_fault("kurzeme-w1", "kind=end_inside_event");
        CHECK_FALSE(ends_in_order(vms, keys::bound));
    }
}

TEST_CASE("an answer without length whose upstream was killed never looks whole")
{
    fleet fleet(one_region(programs(), 1));
    const endpoint vm = fleet.entry("riga-a");
    fleet.set_upstream_fault("riga-f1", "kind=hang_without_length");
    http_caller caller(vm, answer_limit);

    SECTION("to a call that may be repeated")
    {
        REQUIRE(caller.start(status_call));
        std::this_thread::sleep_for(arrival);
        fleet.kill("riga-f1");
        const auto received = caller.finish();
        REQUIRE(received);
        CHECK(received.value().status >= 500);
        CHECK(received.value().error_outcome() == "unknown");
    }
    SECTION("to a call that runs at most once")
    {
        REQUIRE(caller.start(submission(keys::carrier, body, take_ticket(vm, keys::carrier))));
        std::this_thread::sleep_for(arrival);
        fleet.kill("riga-f1");
        const auto received = caller.finish();
        REQUIRE(received);
        CHECK(received.value().status >= 500);
        CHECK(received.value().error_outcome() == "unknown");
    }
}
