/// Conversions of single fields. What a peer sent is checked here, so that no field can break the arithmetic
/// of its reader.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/process/events_types.h"

#include "peer_messages.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <google/protobuf/repeated_ptr_field.h>

namespace cardamomstream {

/// Longest duration that is read; longer ones are cut to it.
inline constexpr std::chrono::milliseconds max_duration = std::chrono::hours{24 * 365 * 10};

/// Error `invalid_request` for a message whose field can't be read.
error malformed(const std::string& field);

/// Between zero and `max_duration`.
std::chrono::milliseconds decode_duration(std::int64_t milliseconds);

/// Error: not a finite number.
result<double> decode_number(double value, const std::string& field);

std::string encode_bytes(const std::array<std::uint8_t, 32>& bytes);

/// Error: not 32 bytes.
result<std::array<std::uint8_t, 32>> decode_bytes(const std::string& bytes, const std::string& field);

void encode_headers(const std::vector<http_header>& headers,
                    google::protobuf::RepeatedPtrField<wire::Header>& to);
std::vector<http_header> decode_headers(const google::protobuf::RepeatedPtrField<wire::Header>& from);

wire::EventRef encode(const event_ref& value);
event_ref decode(const wire::EventRef& from);

} // namespace cardamomstream
