#include "cardamomstream/version/vm_list_reader.h"

#include "cardamomstream/version/endpoint_text.h"
#include "cardamomstream/version/name_text.h"

#include <optional>
#include <utility>

#include <boost/json.hpp>

namespace cardamomstream {
namespace {

namespace json = boost::json;

constexpr std::uint32_t max_slots = 1'000'000;

constexpr std::string_view live_word = "live";
constexpr std::string_view leaving_word = "leaving";

error list_error(const std::string& message)
{
    return error{error_kind::platform_unavailable,
                 "the list of VMs cannot be read: " + message,
                 "mend the published list; the one before stays in force",
                 {},
                 {}};
}

/// Reads the fields of one entry and keeps the first error; reads after an error do nothing.
class entry_reader {
public:
    entry_reader(const json::object& fields, std::string path)
        : m_fields(&fields)
        , m_path(std::move(path))
    {
    }

    template <class Tag>
    void read(std::string_view key, name<Tag>& target)
    {
        const auto text = text_of(key);
        if (!text || !is_valid_name(*text)) {
            refuse(key, "a name");
            return;
        }
        target = name<Tag>{std::string{*text}};
    }

    void read(std::string_view key, endpoint& target)
    {
        const auto text = text_of(key);
        const auto parsed = text ? parse_endpoint(*text) : std::nullopt;
        if (!parsed) {
            refuse(key, "an IP number with a port");
            return;
        }
        target = *parsed;
    }

    void read(std::string_view key, listed_state& target)
    {
        const auto text = text_of(key);
        if (text != live_word && text != leaving_word) {
            refuse(key, R"("live" or "leaving")");
            return;
        }
        target = text == live_word ? listed_state::live : listed_state::leaving;
    }

    void read_optional(std::string_view key, std::uint32_t& target)
    {
        const json::value* value = m_fields->if_contains(key);
        if (value == nullptr) {
            return;
        }
        boost::system::error_code failure;
        const auto number = value->to_number<std::uint32_t>(failure);
        if (failure || number < 1 || number > max_slots) {
            refuse(key, "a whole number from 1 to " + std::to_string(max_slots));
            return;
        }
        target = number;
    }

    void read_optional(std::string_view key, bool& target)
    {
        const json::value* value = m_fields->if_contains(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_bool()) {
            refuse(key, "true or false");
            return;
        }
        target = value->get_bool();
    }

    const std::optional<error>& failure() const noexcept { return m_error; }

private:
    std::optional<std::string_view> text_of(std::string_view key) const
    {
        const json::value* value = m_fields->if_contains(key);
        if (value == nullptr || !value->is_string()) {
            return std::nullopt;
        }
        return std::string_view{value->get_string()};
    }

    void refuse(std::string_view key, const std::string& expected)
    {
        if (!m_error) {
            m_error = list_error(m_path + "." + std::string{key} + " is not " + expected);
        }
    }

    const json::object* m_fields;
    std::string m_path;
    std::optional<error> m_error;
};

void read_fields(entry_reader& fields, listed_vm& vm)
{
    fields.read("region", vm.region);
    fields.read("data_centre", vm.data_centre);
    fields.read("entry", vm.entry);
    fields.read("peer", vm.peer);
    fields.read("state", vm.state);
}

void read_fields(entry_reader& fields, listed_upstream& upstream)
{
    fields.read("pool", upstream.pool);
    fields.read("region", upstream.region);
    fields.read("data_centre", upstream.data_centre);
    fields.read("address", upstream.address);
    fields.read("state", upstream.state);
    fields.read_optional("slots", upstream.slots);
    fields.read_optional("checks_fencing", upstream.checks_fencing);
}

template <class Name, class Entry>
result<void> read_section(const json::object& document, const std::string& section,
                          std::map<Name, Entry>& target)
{
    const json::value* entries = document.if_contains(section);
    if (entries == nullptr || !entries->is_object()) {
        return list_error(section + " is not an object");
    }
    for (const auto& [key, value] : entries->get_object()) {
        const std::string entry_name{key};
        if (!is_valid_name(entry_name) || !value.is_object()) {
            return list_error(section + " holds an entry that is not a name with an object");
        }
        std::string path = section;
        path.append(".").append(entry_name);
        entry_reader fields{value.get_object(), std::move(path)};
        Entry entry;
        read_fields(fields, entry);
        if (fields.failure()) {
            return *fields.failure();
        }
        target.emplace(Name{entry_name}, std::move(entry));
    }
    return boost::outcome_v2::success();
}

std::string_view word_of(listed_state state) noexcept
{
    return state == listed_state::live ? live_word : leaving_word;
}

json::object object_of(const listed_vm& vm)
{
    return {
        {"region", vm.region.str()},          {"data_centre", vm.data_centre.str()},
        {"entry", format_endpoint(vm.entry)}, {"peer", format_endpoint(vm.peer)},
        {"state", word_of(vm.state)},
    };
}

json::object object_of(const listed_upstream& upstream)
{
    return {
        {"pool", upstream.pool.str()},
        {"region", upstream.region.str()},
        {"data_centre", upstream.data_centre.str()},
        {"address", format_endpoint(upstream.address)},
        {"state", word_of(upstream.state)},
        {"slots", upstream.slots},
        {"checks_fencing", upstream.checks_fencing},
    };
}

template <class Name, class Entry>
json::object section_of(const std::map<Name, Entry>& entries)
{
    json::object section;
    for (const auto& [key, entry] : entries) {
        section[key.str()] = object_of(entry);
    }
    return section;
}

} // namespace

result<vm_list> read_vm_list(std::string_view text, version_number version)
{
    boost::system::error_code failure;
    const json::value document = json::parse(text, failure);
    if (failure) {
        return list_error(failure.message());
    }
    if (!document.is_object()) {
        return list_error("it is not a JSON object");
    }
    vm_list list;
    list.version = version;
    if (const auto read = read_section(document.get_object(), "vms", list.vms); !read) {
        return read.error();
    }
    if (const auto read = read_section(document.get_object(), "upstreams", list.upstreams); !read) {
        return read.error();
    }
    return list;
}

std::string write_vm_list(const vm_list& list)
{
    const json::object document{{"vms", section_of(list.vms)}, {"upstreams", section_of(list.upstreams)}};
    return json::serialize(document);
}

} // namespace cardamomstream
