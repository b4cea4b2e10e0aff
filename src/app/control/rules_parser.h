/// Reads rule documents for the version store.
#pragma once

#include "cardamomstream/process/configuration_types.h"
#include "cardamomstream/version/rules_types.h"

namespace cardamomstream {

/// The number under which a document is published governs; the verdict depends on the bytes alone.
struct rules_parser {
    using value_type = rules;

    result<rules> operator()(const version_document& document) const;
};

} // namespace cardamomstream
