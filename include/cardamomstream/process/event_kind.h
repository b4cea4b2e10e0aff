/// The written names of event kinds.
#pragma once

#include "cardamomstream/process/events_types.h"

#include <string_view>

namespace cardamomstream {

/// Stable name, such as "request_routed".
std::string_view word_of(event_kind kind) noexcept;

/// Kind of a name; `event_kind::unknown` for a name of another release.
event_kind event_kind_of(std::string_view word) noexcept;

/// What the event says about a request, such as "chose where to run it".
std::string_view phrase_of(event_kind kind) noexcept;

} // namespace cardamomstream
