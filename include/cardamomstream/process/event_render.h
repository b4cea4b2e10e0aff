/// Shows a merged time line.
#pragma once

#include "cardamomstream/process/event_merge.h"

#include <chrono>
#include <string>
#include <vector>

namespace cardamomstream {

/// One line for each event: time, VM, kind, request, fields and cause.
std::string render_text(const std::vector<timeline_entry>& timeline);

/// Chrome trace JSON, for chrome://tracing and Perfetto: a process for each VM and incarnation, a span for
/// each request at each of them, and an arrow for each cause.
std::string render_trace(const std::vector<timeline_entry>& timeline);

/// The fields of an event as "name=value" with spaces between.
std::string render_fields(const event& value);

/// A wall time as "2026-12-03T23:39:26.123Z".
std::string render_time(std::chrono::system_clock::time_point time);

} // namespace cardamomstream
