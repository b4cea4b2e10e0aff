/// Text encoding of tickets and the digest of a request. Pure functions.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/request/ticket_types.h"

#include <string>
#include <string_view>

namespace cardamomstream {

/// Longest ticket text that is accepted.
inline constexpr std::size_t max_ticket_bytes = 2'048;

/// Computes the MAC, stores it in `value.mac` and returns the encoded ticket.
std::string write_ticket(ticket& value, const ticket_key& key);

/// Decodes a ticket without verifying its MAC. Only the text that `write_ticket` returns for its values is
/// accepted. Error: `ticket_refused`, not run.
result<ticket> read_ticket(std::string_view text);

/// Whether the MAC matches the other fields; compares in constant time.
bool has_valid_mac(const ticket& value, const ticket_key& key);

/// Whether two MACs are equal; compares in constant time.
bool is_same_mac(const ticket_mac& left, const ticket_mac& right) noexcept;

/// Digest that binds a ticket to one request.
request_digest digest_request(std::string_view method, std::string_view target, std::string_view body);

} // namespace cardamomstream
