#include "cardamomstream/request/ticket_book.h"
#include "cardamomstream/request/ticket_codec.h"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

using namespace cardamomstream;
using namespace std::chrono_literals;

namespace {

const customer_name filing{"filing"};
const route_name declare{"declare"};
const request_digest body = digest_request("POST", "/declarations", "line 1");
const time_point start = time_point{} + 1h;

constexpr std::string_view characters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_+/=. \t\n%";

ticket_book book_of(const std::string& vm, std::uint8_t process)
{
    return {{vm_name{vm}, {process}}, ticket_key{process}, ticket_settings{}, start};
}

/// Every text that differs from `text` in one character, has one more or one fewer, or ends otherwise.
std::vector<std::string> texts_unlike(const std::string& text)
{
    std::vector<std::string> changed;
    for (std::size_t at = 0; at <= text.size(); ++at) {
        for (const char character : characters) {
            changed.push_back(text);
            changed.back().insert(at, 1, character);
            if (at < text.size() && text[at] != character) {
                changed.push_back(text);
                changed.back()[at] = character;
            }
        }
        if (at < text.size()) {
            changed.push_back(text);
            changed.back().erase(at, 1);
        }
    }
    for (const auto* end : {"==", "AA", "AAA", "AAAA", "\r\n", ".", ".AAAA"}) {
        changed.push_back(text + end);
    }
    std::erase(changed, text); // a character inserted beside its like, then removed
    return changed;
}

bool is_granted(const begin_decision& decision)
{
    return std::holds_alternative<run_granted>(decision) || std::holds_alternative<replay_answer>(decision) ||
           std::holds_alternative<still_running>(decision);
}

} // namespace

TEST_CASE("a ticket whose text differs in any character from the issued one runs nothing")
{
    // Customers and issuers of several lengths, so that the base64 texts end with 0, 2 and 4 unused bits.
    for (const std::string vm : {"riga-1", "riga-10", "riga-100"}) {
        auto book = book_of(vm, 1);
        const auto text = book.issue(filing, declare, start).value().text;
        int granted = 0;
        std::string example;
        for (const auto& changed : texts_unlike(text)) {
            if (is_granted(book.begin(changed, filing, declare, body, start))) {
                granted += 1;
                example = changed;
            }
        }
        INFO("issued " << text << ", taken " << example);
        CHECK(granted == 0);
        CHECK(is_granted(book.begin(text, filing, declare, body, start)));
    }
}

TEST_CASE("a ticket has one text only, and no other is read as the same values")
{
    ticket value{{{vm_name{"riga-1"}, {1}}, 7}, filing, declare, 30s, {}};
    const auto text = write_ticket(value, ticket_key{1});
    REQUIRE(read_ticket(text));
    int read_as_same = 0;
    for (const auto& changed : texts_unlike(text)) {
        const auto other = read_ticket(changed);
        const bool same = other && other.value().id == value.id && other.value().customer == value.customer &&
                          other.value().route == value.route && other.value().run_by == value.run_by &&
                          other.value().mac == value.mac;
        read_as_same += same ? 1 : 0;
    }
    CHECK(read_as_same == 0);
}

TEST_CASE("a ticket that was taken over runs only for the customer and the route in its text")
{
    auto leaver = book_of("riga-1", 1);
    auto successor = book_of("riga-2", 2);
    const auto text = leaver.issue(filing, declare, start).value().text;
    REQUIRE(successor.take_over(leaver.hand_over(successor.invite(start), start), start).value() == 1);
    const auto with_mac_of_the_issued = [&](ticket changed) {
        const auto other = write_ticket(changed, ticket_key{99});
        return other.substr(0, other.find('.')) + text.substr(text.find('.'));
    };
    auto value = read_ticket(text).value();

    SECTION("not with another customer")
    {
        value.customer = customer_name{"dairy"};
        CHECK_FALSE(is_granted(successor.begin(with_mac_of_the_issued(value), filing, declare, body, start)));
    }
    SECTION("not with another route")
    {
        value.route = route_name{"other"};
        CHECK_FALSE(is_granted(successor.begin(with_mac_of_the_issued(value), filing, declare, body, start)));
    }
    SECTION("but as it was issued")
    {
        CHECK(is_granted(successor.begin(text, filing, declare, body, start)));
    }
}
