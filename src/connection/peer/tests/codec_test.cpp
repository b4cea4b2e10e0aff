#include "allowance_codec.h"
#include "configuration_codec.h"
#include "error_codec.h"
#include "field_codec.h"
#include "forward_codec.h"
#include "hand_over_codec.h"
#include "membership_codec.h"

#include <limits>
#include <random>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <google/protobuf/util/message_differencer.h>

using namespace cardamomstream;
namespace pb = google::protobuf;

namespace {

constexpr int rounds = 200;

/// Fills every field of a message with values that a VM may send.
class message_filler {
public:
    explicit message_filler(std::uint64_t seed)
        : m_chance(seed)
    {
    }

    void fill(pb::Message& message)
    {
        const auto* type = message.GetDescriptor();
        for (int index = 0; index < type->field_count(); ++index) {
            const auto& field = *type->field(index);
            const bool in_choice = field.real_containing_oneof() != nullptr;
            if (in_choice || (may_be_missing(field) && draw(2) == 0)) {
                continue;
            }
            fill_field(message, field);
        }
        for (int index = 0; index < type->real_oneof_decl_count(); ++index) {
            const auto& choice = *type->oneof_decl(index);
            fill_field(message, *choice.field(static_cast<int>(draw(choice.field_count()))));
        }
    }

private:
    std::uint64_t draw(std::uint64_t below) { return m_chance() % below; }

    static bool may_be_missing(const pb::FieldDescriptor& field)
    {
        static const std::set<std::string> optional{
            "cardamomstream.peer.v1.Heartbeat.successor",
            "cardamomstream.peer.v1.MemberRecord.successor",
            "cardamomstream.peer.v1.Membership.about_receiver",
            "cardamomstream.peer.v1.ExchangeRequest.version",
            "cardamomstream.peer.v1.ExchangeReply.version",
            "cardamomstream.peer.v1.ForwardRequest.cause",
            "cardamomstream.peer.v1.ReadConfigurationRequest.held",
            "cardamomstream.peer.v1.HandedTicket.answer",
            "cardamomstream.peer.v1.HandedTicket.digest",
        };
        return field.has_optional_keyword() || optional.count(field.full_name()) != 0;
    }

    void fill_field(pb::Message& message, const pb::FieldDescriptor& field)
    {
        // No value type holds it yet.
        if (field.full_name() == "cardamomstream.peer.v1.AllowanceReport.spare_burst") {
            return;
        }
        if (!field.is_repeated()) {
            fill_single(message, field);
            return;
        }
        for (auto left = draw(4); left > 0; --left) {
            add_one(message, field);
        }
    }

    void fill_single(pb::Message& message, const pb::FieldDescriptor& field)
    {
        const auto& access = *message.GetReflection();
        switch (field.cpp_type()) {
        case pb::FieldDescriptor::CPPTYPE_MESSAGE:
            fill(*access.MutableMessage(&message, &field));
            break;
        case pb::FieldDescriptor::CPPTYPE_STRING:
            access.SetString(&message, &field, text(field));
            break;
        case pb::FieldDescriptor::CPPTYPE_BOOL:
            access.SetBool(&message, &field, field.name() == "end" || draw(2) == 0);
            break;
        case pb::FieldDescriptor::CPPTYPE_DOUBLE:
            access.SetDouble(&message, &field, static_cast<double>(draw(1'000'000)) / 7);
            break;
        case pb::FieldDescriptor::CPPTYPE_ENUM:
            access.SetEnumValue(&message, &field, static_cast<int>(draw(field.enum_type()->value_count())));
            break;
        case pb::FieldDescriptor::CPPTYPE_INT32:
            access.SetInt32(&message, &field, static_cast<int>(draw(1'000)));
            break;
        case pb::FieldDescriptor::CPPTYPE_UINT32:
            access.SetUInt32(&message, &field, static_cast<std::uint32_t>(m_chance()));
            break;
        case pb::FieldDescriptor::CPPTYPE_INT64:
            access.SetInt64(&message, &field, static_cast<std::int64_t>(draw(max_duration.count())));
            break;
        default:
            access.SetUInt64(&message, &field, m_chance());
            break;
        }
    }

    void add_one(pb::Message& message, const pb::FieldDescriptor& field)
    {
        const auto& access = *message.GetReflection();
        if (field.cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE) {
            fill(*access.AddMessage(&message, &field));
            return;
        }
        access.AddString(&message, &field, text(field));
    }

    std::string text(const pb::FieldDescriptor& field)
    {
        if (field.name() == "code") {
            return std::string{
                code_of(static_cast<error_kind>(draw(static_cast<int>(error_kind::internal) + 1)))};
        }
        if (field.name() == "pool") {
            return "pool-" + std::to_string(1'000'000 + ++m_pools); // loads are sorted by pool
        }
        const bool is_digest =
            field.name() == "digest" || field.name() == "mac" || field.name() == "key_digest";
        const bool is_bytes = field.type() == pb::FieldDescriptor::TYPE_BYTES;
        std::string value(is_digest ? 32 : 1 + draw(20), 'x');
        for (auto& character : value) {
            character = static_cast<char>(is_bytes ? draw(256) : 'a' + draw(26));
        }
        return value;
    }

    std::mt19937_64 m_chance;
    int m_pools = 0;
};

/// Whether every field survives the way to the plain value and back.
template <class Message>
bool survives(const Message& sent)
{
    Message received;
    if (!received.ParseFromString(sent.SerializeAsString())) {
        return false;
    }
    const result<std::decay_t<decltype(decode(received).value())>> value = decode(received);
    return value && pb::util::MessageDifferencer::Equals(encode(value.value()), sent);
}

template <class Message>
bool all_survive()
{
    for (int seed = 1; seed <= rounds; ++seed) {
        Message message;
        message_filler(static_cast<std::uint64_t>(seed)).fill(message);
        if (!survives(message)) {
            UNSCOPED_INFO("seed " << seed << ": " << message.ShortDebugString());
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("every field of every message survives the way to another VM")
{
    CHECK(all_survive<wire::ForwardRequest>());
    CHECK(all_survive<wire::ForwardReply>());
    CHECK(all_survive<wire::ExchangeRequest>());
    CHECK(all_survive<wire::ExchangeReply>());
    CHECK(all_survive<wire::ReadConfigurationRequest>());
    CHECK(all_survive<wire::LoanRequest>());
    CHECK(all_survive<wire::LoanAnswer>());
    CHECK(all_survive<wire::LoanReturn>());
    CHECK(all_survive<wire::RestartQuery>());
    CHECK(all_survive<wire::RestartAnswer>());
    CHECK(all_survive<wire::Invitation>());
    CHECK(all_survive<wire::HandOverRequest>());
}

TEST_CASE("an error survives the way to another VM")
{
    for (int seed = 1; seed <= rounds; ++seed) {
        wire::Error sent;
        message_filler(static_cast<std::uint64_t>(seed)).fill(sent);
        CHECK(pb::util::MessageDifferencer::Equals(encode(decode(sent)), sent));
    }
    const auto refused =
        decode(encode(result<std::size_t>{error{error_kind::ticket_refused, "late", "", {}, {}}}));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == error_kind::ticket_refused);
    CHECK(decode(encode(result<std::size_t>{std::size_t{7}})).value() == 7);
}

TEST_CASE("an error that names no known kind is never taken as a promise that the request has not run")
{
    wire::Error empty;
    CHECK(decode(empty).outcome == run_outcome::unknown);
    wire::Error later_release;
    later_release.set_code("a_kind_of_a_later_release");
    CHECK(decode(later_release).outcome == run_outcome::unknown);
    wire::Error known;
    known.set_code(std::string{code_of(error_kind::stopping)});
    CHECK(decode(known).outcome == run_outcome::not_run);
}

TEST_CASE("a configuration update survives as deltas and as a whole text")
{
    const version_id old{4, {1, 2}};
    const version_id current{5, {3, 4}};
    read_configuration_reply sent{current, {}, std::chrono::milliseconds{12}};

    SECTION("nothing newer")
    {
        const auto received = decode(encode(sent)).value();
        CHECK(received.version == current);
        CHECK_FALSE(received.update);
        CHECK(received.confirmed_age == sent.confirmed_age);
    }
    SECTION("whole text")
    {
        sent.update = version_document{5, "rate = 1 # not UTF-8: \xff\n"};
        const auto received = decode(encode(sent)).value();
        const auto& document = std::get<version_document>(received.update.value());
        CHECK(document.number == 5);
        CHECK(document.text == std::get<version_document>(*sent.update).text);
    }
    SECTION("deltas")
    {
        sent.update = std::vector<version_delta>{{old, current, {{3, 1, {"a\n", "b\n"}}, {9, 2, {}}}}};
        const auto received = decode(encode(sent)).value();
        const auto& deltas = std::get<std::vector<version_delta>>(received.update.value());
        REQUIRE(deltas.size() == 1);
        CHECK(deltas[0].from == old);
        CHECK(deltas[0].to == current);
        REQUIRE(deltas[0].edits.size() == 2);
        CHECK(deltas[0].edits[0].first == 3);
        CHECK(deltas[0].edits[0].removed == 1);
        CHECK(deltas[0].edits[0].added == std::vector<std::string>{"a\n", "b\n"});
    }
}

TEST_CASE("a message with an impossible field is refused")
{
    SECTION("a digest of the wrong size")
    {
        wire::ForwardRequest message;
        message.set_key_digest("short");
        CHECK(decode(message).error().kind == error_kind::invalid_request);
    }
    SECTION("a share that is not a number")
    {
        wire::LoanAnswer message;
        message.mutable_lent()->set_rate(std::numeric_limits<double>::quiet_NaN());
        CHECK(decode(message).error().kind == error_kind::invalid_request);
        message.mutable_lent()->set_rate(1);
        message.mutable_lent()->set_burst(std::numeric_limits<double>::infinity());
        CHECK(decode(message).error().kind == error_kind::invalid_request);
    }
    SECTION("a purpose of another release")
    {
        wire::ForwardRequest message;
        message.set_key_digest(std::string(32, 'k'));
        message.set_purpose(static_cast<wire::ForwardRequest::Purpose>(9));
        CHECK(decode(message).error().kind == error_kind::invalid_request);
    }
    SECTION("an answer of no kind")
    {
        CHECK(decode(wire::ForwardReply{}).error().kind == error_kind::invalid_request);
    }
    SECTION("a ticket state of another release never runs")
    {
        wire::HandOverRequest message;
        message.add_tickets()->set_mac(std::string(32, 'm'));
        message.mutable_tickets(0)->set_state(static_cast<wire::HandedTicket::State>(9));
        CHECK(decode(message).value().tickets[0].state == ticket_state::unknown);
    }
    SECTION("durations stay within what clocks can add")
    {
        CHECK(decode_duration(std::numeric_limits<std::int64_t>::max()) == max_duration);
        CHECK(decode_duration(-5).count() == 0);
    }
}
