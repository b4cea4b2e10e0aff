#include "cardamomstream/version/toml_table_reader.h"

#include <catch2/catch.hpp>

using namespace cardamomstream;

namespace {

struct sample {
    std::int64_t count = 7;
    std::chrono::milliseconds limit{5};
    endpoint address;
    std::optional<std::string> note;
};

result<sample> read_sample(std::string_view text)
{
    const auto document = parse_toml(text, error_kind::invalid_settings);
    if (!document) {
        return document.error();
    }
    sample value;
    toml_table_reader fields{document.value(), "", error_kind::invalid_settings};
    fields.optional("count", value.count, 2);
    fields.optional_table("limits",
                          [&](toml_table_reader& limits) { limits.optional("wait_ms", value.limit); });
    fields.required("address", value.address);
    fields.optional("note", value.note);
    const auto finished = fields.finish();
    if (!finished) {
        return finished.error();
    }
    return value;
}

std::string refusal_of(std::string_view text)
{
    const auto value = read_sample(text);
    return value ? "accepted" : describe(value.error());
}

} // namespace

TEST_CASE("a table is read into typed fields")
{
    SECTION("present fields are read and absent ones keep their defaults")
    {
        const auto value = read_sample("address = \"127.0.0.1:80\"\nlimits.wait_ms = 20\n");
        REQUIRE(value);
        CHECK(value.value().address == endpoint{"127.0.0.1", 80});
        CHECK(value.value().limit == std::chrono::milliseconds{20});
        CHECK(value.value().count == 7);
        CHECK_FALSE(value.value().note);
    }
    SECTION("a misspelt key is refused with line and nearest name")
    {
        CHECK(refusal_of("address = \"127.0.0.1:80\"\nlimits.wait_sm = 20\n") ==
              "line 2: limits.wait_sm is not a known key; did you mean \"wait_ms\"?");
    }
    SECTION("a missing key is named")
    {
        CHECK(refusal_of("count = 3\n").find("address is missing; write an IP number") != std::string::npos);
    }
    SECTION("a value of the wrong type or range is refused with its line")
    {
        CHECK(refusal_of("\ncount = \"x\"\n").find("line 2: count has a value that does not fit") == 0);
        CHECK(refusal_of("count = 1\n") == "line 1: count is too small; write a number of at least 2");
        CHECK(refusal_of("limits.wait_ms = -1\n").find("line 1: limits.wait_ms has a value") == 0);
        CHECK(refusal_of("limits = 3\n").find("line 1: limits has a value") == 0);
    }
}

TEST_CASE("text that is no TOML document is refused and never ends the process")
{
    CHECK(refusal_of("").find("the file is empty") == 0);
    CHECK(refusal_of("a = 1\nb =\n").find("line 2: ") == 0);
    CHECK(refusal_of("a.b = 1\na.b = 2\n").find("write each name once") != std::string::npos);
    CHECK(refusal_of("a = " + std::string(100'000, '[')).find("line 1: brackets are nested") == 0);
    CHECK(refusal_of(std::string(max_toml_bytes + 1, '#')).find("the file is larger") == 0);
    CHECK(refusal_of("a = 99999999999999999999\n") != "accepted");
    CHECK(refusal_of("note = \"\xff\xfe\"\naddress = \"127.0.0.1:80\"\n") != "accepted");
}

TEST_CASE("an endpoint is an IP number with a port")
{
    CHECK(parse_endpoint("127.0.0.1:7101") == endpoint{"127.0.0.1", 7101});
    CHECK(format_endpoint(*parse_endpoint("[::1]:7101")) == "[::1]:7101");
    for (const auto* text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                             "127.0.0.1:8x", "::1:80", "[127.0.0.1]:80", ":80", ""}) {
        CHECK_FALSE(parse_endpoint(text));
    }
}

TEST_CASE("the nearest known name is suggested")
{
    CHECK(edit_distance("kitten", "sitting") == 3);
    CHECK(suggest_name("rgia", {"kurzeme", "riga"}) == "did you mean \"riga\"?");
    CHECK(suggest_name("paris", {"kurzeme", "riga"}) == "known are \"kurzeme\" \"riga\"");
    CHECK(suggest_name("riga", {}) == "none is defined");
}
