#include "cardamomstream/process/event_explain.h"

#include "cardamomstream/process/event_kind.h"
#include "cardamomstream/process/event_render.h"

#include <optional>

#include <fmt/format.h>

namespace cardamomstream {
namespace {

using fractional_milliseconds = std::chrono::duration<double, std::milli>;

std::string render_decision(const timeline_entry& entry, std::chrono::system_clock::time_point first)
{
    const fractional_milliseconds offset = entry.shown_at - first;
    const event& value = entry.value;
    std::string line =
        fmt::format("{:+.1f} ms  {} {}", offset.count(), value.ref.vm.str(), phrase_of(value.kind));
    if (!value.fields.empty()) {
        line += ": " + render_fields(value);
    }
    return line;
}

} // namespace

result<std::vector<std::string>> explain_request(const std::vector<timeline_entry>& timeline,
                                                 const request_id& request)
{
    std::vector<std::string> lines;
    std::optional<std::chrono::system_clock::time_point> first;
    for (const auto& entry : timeline) {
        if (request.empty() || entry.value.request != request) {
            continue;
        }
        first = first.value_or(entry.shown_at);
        lines.push_back(render_decision(entry, *first));
    }
    if (lines.empty()) {
        return error{error_kind::not_found,
                     "no event of request \"" + request.str() + "\" is known",
                     "ask every VM, soon after the request: each keeps its newest events only",
                     {},
                     {}};
    }
    return lines;
}

} // namespace cardamomstream
