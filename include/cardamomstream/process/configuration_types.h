/// Value types for the documents of the configuration service and for their exchange between VMs.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cardamomstream {

/// SHA-256 of the text of a document.
using document_digest = std::array<std::uint8_t, 32>;

/// Identifies a version. Versions are ordered by number, then by digest. The digest matters only if an
/// operator publishes two texts under one number; all VMs then select the same one.
struct version_id {
    version_number number = 0;
    document_digest digest{};
    // clang-tidy mistakes the zero in the generated comparison for a null pointer.
    friend auto operator<=>(const version_id&, const version_id&) = default; // NOLINT(modernize-use-nullptr)
};

/// One published version.
struct version_document {
    version_number number = 0;
    std::string text;
};

/// Replaces `removed` lines from line `first` (zero-based, of the old text) by `added`.
struct line_edit {
    std::uint32_t first = 0;
    std::uint32_t removed = 0;
    std::vector<std::string> added; ///< including line ends
};

/// Edits that turn the text of one version into that of another. `to.digest` verifies the result.
struct version_delta {
    version_id from;
    version_id to;
    std::vector<line_edit> edits; ///< in ascending order of `first`
};

/// Update for a VM that holds an older version: consecutive deltas, or the whole text.
using version_update = std::variant<std::vector<version_delta>, version_document>;

enum class offer_verdict {
    accepted,        ///< now in force
    already_held,    ///< the same version is in force, which confirms it
    stale,           ///< older than the version in force, which stays
    refused,         ///< the text is invalid; the version in force stays
    base_not_held,   ///< the deltas start from another version: request the whole text
    digest_mismatch, ///< the deltas don't produce the expected digest: request the whole text
};

struct offer_result {
    offer_verdict verdict = offer_verdict::stale;
    std::optional<error> reason; ///< set for every verdict but `accepted` and `already_held`
};

/// A version whose text is invalid.
struct refused_version {
    version_id id;
    error reason;
    time_point first_seen;
};

} // namespace cardamomstream
