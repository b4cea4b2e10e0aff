/// Documents of the configuration service and how they travel between VMs, as plain values.
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

/// Identity and order of a version: by number, then by digest. The digest decides only if an operator
/// publishes two texts under one number; all VMs then settle on the same one.
struct version_id {
    version_number number = 0;
    document_digest digest{};
    // The check takes the zero inside the generated comparison for a pointer.
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
    std::vector<std::string> added; ///< with their line ends
};

/// What turns the text of one version into that of another. `to.digest` proves the result.
struct version_delta {
    version_id from;
    version_id to;
    std::vector<line_edit> edits; ///< in ascending order of `first`
};

/// What a VM sends to one that holds an older version: deltas that follow each other, or the whole text.
using version_update = std::variant<std::vector<version_delta>, version_document>;

enum class offer_verdict {
    accepted,        ///< now in force
    already_held,    ///< this very version is in force: it is confirmed
    stale,           ///< older than the one in force, which stays
    refused,         ///< the text has a fault; the one in force stays
    base_not_held,   ///< a delta for another base: ask for the whole text
    digest_mismatch, ///< the deltas don't give the promised digest: ask for the whole text
};

struct offer_result {
    offer_verdict verdict = offer_verdict::stale;
    std::optional<error> reason; ///< set for every verdict but `accepted` and `already_held`
};

/// A version whose text has a fault.
struct refused_version {
    version_id id;
    error reason;
    time_point first_seen;
};

} // namespace cardamomstream
