#include "cardamomstream/process/event_codec.h"

#include "cardamomstream/process/event_kind.h"

#include <charconv>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace cardamomstream {
namespace {

namespace json = boost::json;

using std::chrono::nanoseconds;

constexpr int incarnation_base = 16;

json::object object_of(const event_ref& ref)
{
    // A JSON reader may hold numbers as doubles, which an incarnation of 64 random bits does not survive.
    return {
        {"vm", ref.vm.str()},
        {"process", fmt::format("{:016x}", ref.process.value)},
        {"sequence", ref.sequence},
    };
}

json::object object_of(const event& value)
{
    json::object object = object_of(value.ref);
    object["at"] = nanoseconds{value.at.time_since_epoch()}.count();
    object["wall"] = nanoseconds{value.wall.time_since_epoch()}.count();
    object["kind"] = word_of(value.kind);
    if (!value.request.empty()) {
        object["request"] = value.request.str();
    }
    if (value.cause) {
        object["cause"] = object_of(*value.cause);
    }
    json::array fields;
    for (const auto& field : value.fields) {
        fields.push_back({field.name, json_of(field.value)});
    }
    object["fields"] = std::move(fields);
    return object;
}

std::string text_at(const json::object& object, std::string_view key)
{
    return std::string{object.at(key).as_string()};
}

event_ref ref_of(const json::object& object)
{
    event_ref ref;
    ref.vm = vm_name{text_at(object, "vm")};
    ref.sequence = object.at("sequence").to_number<std::uint64_t>();
    const std::string process = text_at(object, "process");
    const char* const end = process.data() + process.size();
    const auto parsed = std::from_chars(process.data(), end, ref.process.value, incarnation_base);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        throw std::invalid_argument{"process is not a hexadecimal number"};
    }
    return ref;
}

event_field_value field_value_of(const json::value& value)
{
    if (value.is_string()) {
        return std::string{value.get_string()};
    }
    if (value.is_bool()) {
        return value.get_bool();
    }
    if (value.is_double()) {
        return value.get_double();
    }
    return value.to_number<std::int64_t>();
}

event event_of(const json::object& object)
{
    event value;
    value.ref = ref_of(object);
    value.at = time_point{nanoseconds{object.at("at").to_number<std::int64_t>()}};
    value.wall =
        std::chrono::system_clock::time_point{std::chrono::duration_cast<std::chrono::system_clock::duration>(
            nanoseconds{object.at("wall").to_number<std::int64_t>()})};
    value.kind = event_kind_of(text_at(object, "kind"));
    if (object.contains("request")) {
        value.request = request_id{text_at(object, "request")};
    }
    if (const json::value* cause = object.if_contains("cause")) {
        value.cause = ref_of(cause->as_object());
    }
    for (const auto& item : object.at("fields").as_array()) {
        const json::array& pair = item.as_array();
        value.fields.push_back({std::string{pair.at(0).as_string()}, field_value_of(pair.at(1))});
    }
    return value;
}

} // namespace

json::value json_of(const event_field_value& value)
{
    return std::visit([](const auto& content) { return json::value(content); }, value);
}

std::string write_event_page(const event_page& page)
{
    json::array events;
    events.reserve(page.events.size());
    for (const auto& value : page.events) {
        events.push_back(object_of(value));
    }
    return json::serialize(
        json::object{{"events", std::move(events)}, {"next", page.next}, {"lost", page.lost}});
}

result<event_page> read_event_page(std::string_view text)
{
    try {
        const json::value document = json::parse(text);
        const json::object& object = document.as_object();
        event_page page;
        page.next = object.at("next").to_number<std::uint64_t>();
        page.lost = object.at("lost").to_number<std::uint64_t>();
        for (const auto& item : object.at("events").as_array()) {
            page.events.push_back(event_of(item.as_object()));
        }
        return page;
    }
    catch (const std::exception& failure) {
        return error{error_kind::invalid_argument,
                     std::string{"the events cannot be read: "} + failure.what(),
                     "ask an operators' listener of this release",
                     {},
                     {}};
    }
}

} // namespace cardamomstream
