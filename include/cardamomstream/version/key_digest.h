/// Keys of callers and their SHA-256 digests. Only digests are published and kept.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/version/rules_types.h"

#include <string>
#include <string_view>

namespace cardamomstream {

/// SHA-256 of a key as the caller presents it.
key_digest digest_of(std::string_view key);

/// The published form: "sha256:" and 64 lower-case hexadecimal digits.
std::string format_digest(const key_digest& digest);

/// Reads the published form. Error: `invalid_argument`; its message never repeats the text, which may be
/// a key that was put there by mistake.
result<key_digest> parse_digest(std::string_view text);

/// Compares without a time that depends on the content.
bool equal_constant_time(const key_digest& left, const key_digest& right) noexcept;

/// Makes a key: "cs-" and 64 hexadecimal digits, 256 random bits. Error: `internal`, when the system has
/// no randomness.
result<std::string> new_key();

} // namespace cardamomstream
