#include "cardamomstream/version/key_digest.h"
#include "cardamomstream/version/key_index.h"

#include <string>

#include <catch2/catch.hpp>

using namespace cardamomstream;

TEST_CASE("a key is published only as its SHA-256 digest")
{
    SECTION("the digest is the standard one and survives its text form")
    {
        const auto digest = digest_of("abc");
        CHECK(format_digest(digest) ==
              "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
        CHECK(parse_digest(format_digest(digest)).value() == digest);
    }
    SECTION("a key put in place of a digest is refused and not repeated")
    {
        for (const std::string text : {"cs-secret", "sha256:", "sha256:zz", "ba7816bf"}) {
            const auto refused = parse_digest(text);
            REQUIRE_FALSE(refused);
            CHECK(refused.error().message.find("secret") == std::string::npos);
        }
        CHECK_FALSE(parse_digest("sha256:" + std::string(64, 'g')));
        CHECK_FALSE(parse_digest("sha256:" + std::string(66, 'a')));
    }
    SECTION("two new keys differ")
    {
        const auto first = new_key().value();
        CHECK(first.starts_with("cs-"));
        CHECK(first.size() == 67);
        CHECK(first != new_key().value());
    }
}

TEST_CASE("the key index finds the customer of every published key and of no other")
{
    rules source;
    for (int i = 0; i < 1000; ++i) {
        const auto number = std::to_string(i);
        source.keys.emplace(key_name{"key-" + number},
                            key_rule{customer_name{"customer-" + number}, digest_of("secret-" + number)});
    }
    const key_index index{source};
    for (int i = 0; i < 1000; ++i) {
        const auto number = std::to_string(i);
        CHECK(index.find("secret-" + number) ==
              key_owner{key_name{"key-" + number}, customer_name{"customer-" + number}});
        CHECK_FALSE(index.find("guess-" + number));
    }

    SECTION("a digest that differs in one bit matches nothing")
    {
        auto digest = digest_of("secret-1");
        digest.back() ^= 1U;
        CHECK_FALSE(index.find(digest));
    }
    SECTION("the zero digest of the padding matches nothing")
    {
        CHECK_FALSE(index.find(key_digest{}));
    }
    SECTION("without keys nothing matches")
    {
        CHECK_FALSE(key_index{rules{}}.find("secret-1"));
    }
}
