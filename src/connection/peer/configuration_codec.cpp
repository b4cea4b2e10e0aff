#include "configuration_codec.h"

#include "field_codec.h"

namespace cardamomstream {

namespace {

wire::VersionDelta encode(const version_delta& value)
{
    wire::VersionDelta to;
    *to.mutable_from() = cardamomstream::encode(value.from);
    *to.mutable_to() = cardamomstream::encode(value.to);
    for (const auto& edit : value.edits) {
        auto* added = to.add_edits();
        added->set_first(edit.first);
        added->set_removed(edit.removed);
        for (const auto& line : edit.added) {
            added->add_added(line);
        }
    }
    return to;
}

result<version_delta> decode(const wire::VersionDelta& from)
{
    version_delta value;
    BOOST_OUTCOME_TRY(value.from, cardamomstream::decode(from.from()));
    BOOST_OUTCOME_TRY(value.to, cardamomstream::decode(from.to()));
    for (const auto& edit : from.edits()) {
        value.edits.push_back({edit.first(), edit.removed(), {edit.added().begin(), edit.added().end()}});
    }
    return value;
}

void encode_update(const version_update& update, wire::ReadConfigurationReply& to)
{
    if (const auto* document = std::get_if<version_document>(&update)) {
        to.set_text(document->text);
        return;
    }
    for (const auto& delta : std::get<std::vector<version_delta>>(update)) {
        *to.add_deltas() = encode(delta);
    }
}

result<std::optional<version_update>> decode_update(const wire::ReadConfigurationReply& from)
{
    if (!from.text().empty()) {
        return version_update{version_document{from.version().number(), from.text()}};
    }
    if (from.deltas().empty()) {
        return std::optional<version_update>{};
    }
    std::vector<version_delta> deltas;
    for (const auto& delta : from.deltas()) {
        BOOST_OUTCOME_TRY(auto decoded, decode(delta));
        deltas.push_back(std::move(decoded));
    }
    return version_update{std::move(deltas)};
}

} // namespace

wire::VersionId encode(const version_id& value)
{
    wire::VersionId to;
    to.set_number(value.number);
    to.set_digest(encode_bytes(value.digest));
    return to;
}

result<version_id> decode(const wire::VersionId& from)
{
    version_id value;
    value.number = from.number();
    BOOST_OUTCOME_TRY(value.digest, decode_bytes(from.digest(), "digest"));
    return value;
}

wire::ReadConfigurationRequest encode(const std::optional<version_id>& held)
{
    wire::ReadConfigurationRequest to;
    if (held) {
        *to.mutable_held() = encode(*held);
    }
    return to;
}

result<std::optional<version_id>> decode(const wire::ReadConfigurationRequest& from)
{
    if (!from.has_held()) {
        return std::optional<version_id>{};
    }
    BOOST_OUTCOME_TRY(const auto held, decode(from.held()));
    return std::optional{held};
}

wire::ReadConfigurationReply encode(const read_configuration_reply& value)
{
    wire::ReadConfigurationReply to;
    if (value.version) {
        *to.mutable_version() = encode(*value.version);
    }
    if (value.update) {
        encode_update(*value.update, to);
    }
    if (value.confirmed_age) {
        to.set_confirmed_age_ms(value.confirmed_age->count());
    }
    if (value.list) {
        to.set_list_version(value.list->version);
        to.set_list(value.list->text);
    }
    return to;
}

result<read_configuration_reply> decode(const wire::ReadConfigurationReply& from)
{
    read_configuration_reply value;
    if (from.has_version()) {
        BOOST_OUTCOME_TRY(value.version, decode(from.version()));
    }
    BOOST_OUTCOME_TRY(value.update, decode_update(from));
    if (from.has_confirmed_age_ms()) {
        value.confirmed_age = decode_duration(from.confirmed_age_ms());
    }
    if (!from.list().empty()) {
        value.list = list_document{from.list_version(), from.list()};
    }
    return value;
}

} // namespace cardamomstream
