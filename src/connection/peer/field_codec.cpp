#include "field_codec.h"

#include <cmath>

namespace cardamomstream {

error malformed(const std::string& field)
{
    return {error_kind::invalid_request,
            "the field " + field + " of a message between VMs has no valid value",
            "run the same release on all VMs",
            {},
            {}};
}

std::chrono::milliseconds decode_duration(std::int64_t milliseconds)
{
    return std::clamp(std::chrono::milliseconds{milliseconds}, std::chrono::milliseconds{0}, max_duration);
}

result<double> decode_number(double value, const std::string& field)
{
    if (!std::isfinite(value)) {
        return malformed(field);
    }
    return value;
}

std::string encode_bytes(const std::array<std::uint8_t, 32>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

result<std::array<std::uint8_t, 32>> decode_bytes(const std::string& bytes, const std::string& field)
{
    std::array<std::uint8_t, 32> value{};
    if (bytes.size() != value.size()) {
        return malformed(field);
    }
    std::copy(bytes.begin(), bytes.end(), value.begin());
    return value;
}

void encode_headers(const std::vector<http_header>& headers,
                    google::protobuf::RepeatedPtrField<wire::Header>& to)
{
    for (const auto& header : headers) {
        auto* added = to.Add();
        added->set_name(header.name);
        added->set_value(header.value);
    }
}

std::vector<http_header> decode_headers(const google::protobuf::RepeatedPtrField<wire::Header>& from)
{
    std::vector<http_header> headers;
    headers.reserve(static_cast<std::size_t>(from.size()));
    for (const auto& header : from) {
        headers.push_back({header.name(), header.value()});
    }
    return headers;
}

wire::EventRef encode(const event_ref& value)
{
    wire::EventRef to;
    to.set_vm(value.vm.str());
    to.set_process(value.process.value);
    to.set_sequence(value.sequence);
    return to;
}

event_ref decode(const wire::EventRef& from)
{
    return {vm_name{from.vm()}, incarnation{from.process()}, from.sequence()};
}

} // namespace cardamomstream
