#include "model_call.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("a chat completion is read")
{
    SECTION("with its defaults, and max_tokens is set for the upstream")
    {
        const auto call = read_model_call(R"({"model":"m","messages":[{"role":"user","content":"hello"}]})");
        REQUIRE(call);
        CHECK(call.value().model == model_name{"m"});
        CHECK(call.value().max_tokens == default_max_tokens);
        CHECK_FALSE(call.value().stream);
        CHECK(call.value().prefix_digest == 0);
        CHECK(call.value().upstream_body.find("\"max_tokens\":256") != std::string::npos);
    }
    SECTION("requests that differ only in the last message have equal prefix digests")
    {
        const auto first = read_model_call(
            R"({"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]})");
        const auto second = read_model_call(
            R"({"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"b"}]})");
        CHECK(first.value().prefix_digest == second.value().prefix_digest);
        CHECK(first.value().prefix_digest != 0);
    }
}

TEST_CASE("a malformed chat completion is refused with a remedy")
{
    const std::string body = GENERATE(
        as<std::string>{}, "", "[1]", "{\"model\":", "{\"model\":3,\"messages\":[]}", R"({"model":"m"})",
        R"({"model":"m","messages":[]})", R"({"model":"m","messages":[{"role":"user"}]})",
        R"({"model":"m","messages":[{"content":"a"}],"max_tokens":0})",
        R"({"model":"m","messages":[{"content":"a"}],"stream":"yes"})");
    const auto call = read_model_call(body);
    REQUIRE_FALSE(call);
    CHECK(call.error().kind == error_kind::invalid_request);
    CHECK_FALSE(call.error().remedy.empty());
}
