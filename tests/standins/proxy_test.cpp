#include "standin.h"

using namespace cardamomstream;
using namespace cardamomstream::test_support;

namespace {

constexpr std::chrono::milliseconds short_limit{300};
const call status_call{"GET", "/filing/status", "", "", {}};

/// A service behind a proxy.
struct proxied_service {
    standin service{"service", {"--name", "f1"}};
    endpoint control = free_port();
    standin proxy{"proxy", {"--to", service.address().str(), "--control", control.str(), "--delay-ms", "30"}};

    proxied_service() { REQUIRE(proxy.process().wait_for_log("listening ", std::chrono::seconds(10), 2)); }

    void fault(const std::string& query) const
    {
        const auto done = send_once(control, {"POST", "/fault?" + query, "", "", {}});
        REQUIRE(done);
        REQUIRE(done.value().status == 200);
    }
    bool answers() const { return send_once(proxy.address(), status_call, short_limit).has_value(); }
};

} // namespace

TEST_CASE("the proxy delays and then cuts and silences what passes through it")
{
    const proxied_service between;
    http_caller open(between.proxy.address(), std::chrono::seconds(2));
    const auto before = std::chrono::steady_clock::now();
    REQUIRE(open.send(status_call));
    CHECK(std::chrono::steady_clock::now() - before >= std::chrono::milliseconds(60));

    SECTION("a cut resets open connections and refuses new ones until it heals")
    {
        between.fault("kind=cut");
        CHECK_FALSE(open.send(status_call));
        CHECK_FALSE(between.answers());
        between.fault("kind=none");
        CHECK(between.answers());
    }
    SECTION("silenced connections stay silent while new ones work")
    {
        between.fault("kind=silence_open");
        open.set_limit(short_limit);
        const auto silent = open.send(status_call);
        REQUIRE_FALSE(silent);
        CHECK(silent.error().kind == error_kind::upstream_timeout);
        CHECK(between.answers());
    }
    SECTION("a black hole holds everything back and delivers it late")
    {
        between.fault("kind=blackhole");
        CHECK_FALSE(between.answers());
        REQUIRE(open.start(status_call));
        between.fault("kind=none");
        CHECK(open.finish());
    }
    SECTION("only the answer is lost when only that direction is held")
    {
        between.fault("kind=blackhole&direction=from");
        CHECK_FALSE(between.answers());
        CHECK(between.service.get("/control/seen").json().at("total") == 2);
    }
    SECTION("a connection ends after the bytes that it may carry")
    {
        between.fault("kind=drop_after_bytes&bytes=20&direction=from");
        const auto ended = send_once(between.proxy.address(), status_call, short_limit);
        REQUIRE_FALSE(ended);
        CHECK(ended.error().kind == error_kind::upstream_unavailable);
        between.fault("kind=none");
        CHECK(between.answers());
    }
}
