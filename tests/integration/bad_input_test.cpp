#include "programs.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

/// The first bytes that the VM answers to raw bytes; "closed" if it just closes.
std::string answer_to(const endpoint& vm, const std::string& bytes)
{
    http_caller caller(vm, std::chrono::seconds(8));
    REQUIRE(caller.send_raw(bytes));
    const auto received = caller.finish();
    if (received) {
        return std::to_string(received.value().status) + " " + received.value().error_code();
    }
    return received.error().kind == error_kind::upstream_timeout ? "silent" : "closed";
}

std::string post_head(const std::string& more)
{
    return "POST /filing/submissions HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer " + keys::carrier +
           "\r\n" + more + "\r\n";
}

} // namespace

TEST_CASE("bad input is refused and harms nobody else")
{
    fleet_plan plan = one_region(programs(), 1);
    plan.settings = {"limits.max_body_bytes = 65536", "limits.header_timeout_ms = 1000",
                     "limits.body_timeout_ms = 1000"};
    const fleet fleet(plan);
    const endpoint vm = fleet.entry("riga-a");

    SECTION("a body that is no JSON")
    {
        call request = chat_call(keys::carrier, "ledger", 3, false);
        for (const std::string body :
             {"{", "[]", "{\"model\":7}", "\xff\xfe", "{\"model\":\"draft-small\"}"}) {
            request.body = body;
            const auto received = send_once(vm, request);
            REQUIRE(received);
            CHECK(received.value().status == 400);
            CHECK(received.value().error_outcome() == "not_run");
        }
    }
    SECTION("a body above the limit")
    {
        call request = chat_call(keys::carrier, std::string(100'000, 'x'), 3, false);
        const auto received = send_once(vm, request);
        REQUIRE(received);
        CHECK(received.value().status == 413);
    }
    SECTION("a body that claims to be huge")
    {
        CHECK(answer_to(vm, post_head("Content-Length: 99999999999999999999\r\n")).substr(0, 1) != "2");
        CHECK(answer_to(vm, post_head("Content-Length: 999999999999\r\n")).substr(0, 3) == "413");
    }
    SECTION("two lengths or a length beside chunks")
    {
        for (const std::string more : {"Content-Length: 3\r\nContent-Length: 4\r\n",
                                       "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"}) {
            const std::string answered = answer_to(vm, post_head(more) + "{}\n");
            CHECK((answered == "closed" || answered.starts_with("400")));
        }
    }
    SECTION("a request that ends in its body")
    {
        for (const std::string more : {"Content-Length: 50\r\n", "Transfer-Encoding: chunked\r\n"}) {
            http_caller caller(vm);
            REQUIRE(caller.send_raw(post_head(more) + "5\r\n{\"a\":"));
            caller.abandon();
        }
    }
    SECTION("a sender that is too slow")
    {
        const auto before = std::chrono::steady_clock::now();
        const std::string answered = answer_to(vm, post_head("Content-Length: 50\r\n") + "{");
        CHECK((answered == "closed" || answered.starts_with("408")));
        const std::string head_only = answer_to(vm, "POST /filing/sub");
        CHECK((head_only == "closed" || head_only.starts_with("408")));
        CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds(6));
    }
    SECTION("bytes that are no HTTP and a head above the limit")
    {
        CHECK(answer_to(vm, "\x16\x03\x01 hello\r\n\r\n").substr(0, 1) != "2");
        CHECK(answer_to(vm, "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n").substr(0, 1) !=
              "2");
    }
    CHECK(fleet.seen("riga-f1").at("runs_total") == 0);
    CHECK(send_once(vm, status_call).value().status == 200);
}
