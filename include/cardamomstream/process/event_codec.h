/// Events as JSON, as the operators' listener serves them.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/events_types.h"

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace cardamomstream {

/// Writes a page: {"events": [...], "next": N, "lost": N}. Times are nanoseconds.
std::string write_event_page(const event_page& page);

/// Reads what `write_event_page` wrote. Errors: `invalid_argument`.
result<event_page> read_event_page(std::string_view text);

/// A field value as JSON.
boost::json::value json_of(const event_field_value& value);

} // namespace cardamomstream
