#include "cardamomstream/process/event_render.h"

#include "cardamomstream/process/event_codec.h"
#include "cardamomstream/process/event_kind.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/json.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace cardamomstream {
namespace {

namespace json = boost::json;

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// The text as it is when it is a plain word, in quotes and escaped otherwise, so that a caller's text can
/// neither forge a field nor a line.
std::string quote_text(const std::string& text)
{
    const bool is_plain = !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character > ' ' && character <= '~' && character != '"' && character != '=';
    });
    return is_plain ? text : json::serialize(json::string{text});
}

std::string render_value(const event_field_value& value)
{
    if (const auto* text = std::get_if<std::string>(&value)) {
        return quote_text(*text);
    }
    if (const auto* number = std::get_if<double>(&value)) {
        return fmt::format("{}", *number);
    }
    return json::serialize(json_of(value));
}

std::string render_line(const timeline_entry& entry)
{
    const event& value = entry.value;
    std::string line = fmt::format("{} {}#{} {}", render_time(entry.shown_at), value.ref.vm.str(),
                                   value.ref.sequence, word_of(value.kind));
    if (!value.request.empty()) {
        line += " request=" + quote_text(value.request.str());
    }
    if (!value.fields.empty()) {
        line += " " + render_fields(value);
    }
    if (value.cause) {
        line += fmt::format(" after={}#{}", value.cause->vm.str(), value.cause->sequence);
    }
    return line + "\n";
}

/// Collects the records of a Chrome trace.
class trace_writer {
public:
    void add(const timeline_entry& entry)
    {
        const event& value = entry.value;
        const std::int64_t process = process_of(value.ref);
        const std::int64_t time = microseconds_of(entry);
        json::object arguments{{"sequence", value.ref.sequence}};
        for (const auto& field : value.fields) {
            arguments[field.name] = json_of(field.value);
        }
        if (!value.request.empty()) {
            arguments["request"] = value.request.str();
            extend_span(process, value.request, time);
        }
        json::object mark = record("i", word_of(value.kind), process, time);
        mark["s"] = "p";
        mark["args"] = std::move(arguments);
        m_records.push_back(std::move(mark));
        m_places.emplace(value.ref, std::pair{process, time});
        if (value.cause) {
            add_arrow(*value.cause, process, time);
        }
    }

    std::string finish()
    {
        for (const auto& [key, span] : m_spans) {
            const auto& [process, request] = key;
            add_span_end("b", process, request, span.first);
            add_span_end("e", process, request, span.second);
        }
        return json::serialize(json::object{{"traceEvents", std::move(m_records)}});
    }

private:
    static std::int64_t microseconds_of(const timeline_entry& entry)
    {
        return std::chrono::duration_cast<microseconds>(entry.shown_at.time_since_epoch()).count();
    }

    static json::object record(std::string_view phase, std::string_view title, std::int64_t process,
                               std::int64_t time)
    {
        return {{"ph", phase}, {"name", title}, {"pid", process}, {"tid", 1}, {"ts", time}};
    }

    /// Number of a process in the trace; the first use names it.
    std::int64_t process_of(const event_ref& ref)
    {
        const auto next = static_cast<std::int64_t>(m_processes.size() + 1);
        const auto [entry, is_new] = m_processes.emplace(std::pair{ref.vm, ref.process}, next);
        if (is_new) {
            json::object title = record("M", "process_name", next, 0);
            title["args"] =
                json::object{{"name", fmt::format("{} {:016x}", ref.vm.str(), ref.process.value)}};
            m_records.push_back(std::move(title));
        }
        return entry->second;
    }

    void extend_span(std::int64_t process, const request_id& request, std::int64_t time)
    {
        const auto [span, is_new] = m_spans.emplace(std::pair{process, request}, std::pair{time, time});
        span->second.second = std::max(span->second.second, time);
    }

    void add_span_end(std::string_view phase, std::int64_t process, const request_id& request,
                      std::int64_t time)
    {
        json::object end = record(phase, "request " + request.str(), process, time);
        end["cat"] = "request";
        end["id"] = fmt::format("{}/{}", process, request.str());
        m_records.push_back(std::move(end));
    }

    void add_arrow(const event_ref& cause, std::int64_t process, std::int64_t time)
    {
        const auto from = m_places.find(cause);
        if (from == m_places.end()) {
            return;
        }
        ++m_arrow_count;
        for (const auto& [phase, end] :
             {std::pair{"s", from->second}, std::pair{"f", std::pair{process, time}}}) {
            json::object half = record(phase, "cause", end.first, end.second);
            half["cat"] = "cause";
            half["id"] = m_arrow_count;
            m_records.push_back(std::move(half));
        }
    }

    json::array m_records;
    std::map<std::pair<vm_name, incarnation>, std::int64_t> m_processes;
    std::map<event_ref, std::pair<std::int64_t, std::int64_t>> m_places; ///< process and time
    std::map<std::pair<std::int64_t, request_id>, std::pair<std::int64_t, std::int64_t>> m_spans;
    std::int64_t m_arrow_count = 0;
};

} // namespace

std::string render_fields(const event& value)
{
    std::string text;
    for (const auto& field : value.fields) {
        text += (text.empty() ? "" : " ") + quote_text(field.name) + "=" + render_value(field.value);
    }
    return text;
}

std::string render_time(std::chrono::system_clock::time_point time)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(time);
    const auto rest = std::chrono::duration_cast<milliseconds>(time - second);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(second), rest.count());
}

std::string render_text(const std::vector<timeline_entry>& timeline)
{
    std::string text;
    for (const auto& entry : timeline) {
        text += render_line(entry);
    }
    return text;
}

std::string render_trace(const std::vector<timeline_entry>& timeline)
{
    trace_writer writer;
    for (const auto& entry : timeline) {
        writer.add(entry);
    }
    return writer.finish();
}

} // namespace cardamomstream
