#include "cardamomstream/request/gateway/event_splitter.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace cardamomstream {

namespace {

constexpr std::string_view line_ends = "\r\n";
constexpr std::string_view digits = "0123456789";
constexpr std::string_view id_field = "id";
constexpr std::array<std::string_view, 3> unnumbered_fields{"data", "event", "retry"};
constexpr std::size_t longest_field_name = 5;
constexpr std::size_t longest_blank_line = 3; // CRLF after the end of another line

/// The bytes that show whether others before them end with an event.
std::string_view end_of(std::string_view bytes)
{
    return bytes.substr(bytes.size() - std::min(bytes.size(), longest_blank_line));
}

bool is_event_field(std::string_view name)
{
    return name == id_field ||
           std::find(unnumbered_fields.begin(), unnumbered_fields.end(), name) != unnumbered_fields.end();
}

/// True for the beginning of a field's name.
bool may_become_event_field(std::string_view text)
{
    return !text.empty() && (id_field.starts_with(text) ||
                             std::any_of(unnumbered_fields.begin(), unnumbered_fields.end(),
                                         [&](std::string_view field) { return field.starts_with(text); }));
}

/// True for a name as header fields have it.
bool is_field_name(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_';
    });
}

/// An id as a fixed text and a number.
struct numbered_id {
    std::string_view prefix;
    std::string_view number; ///< without leading zeros
};

std::optional<numbered_id> read_number(std::string_view id)
{
    const auto last_other = id.find_last_not_of(digits);
    const auto first_digit = last_other == std::string_view::npos ? 0 : last_other + 1;
    if (first_digit == id.size()) {
        return std::nullopt;
    }
    auto number = id.substr(first_digit);
    number.remove_prefix(std::min(number.find_first_not_of('0'), number.size()));
    return numbered_id{id.substr(0, first_digit), number};
}

/// Empty when it isn't known.
std::optional<bool> comes_after(std::string_view id, std::string_view last)
{
    if (id == last) {
        return false;
    }
    const auto one = read_number(id);
    const auto other = read_number(last);
    if (!one || !other || one->prefix != other->prefix) {
        return std::nullopt;
    }
    return std::pair(one->number.size(), one->number) > std::pair(other->number.size(), other->number);
}

} // namespace

/// What the lines of one event contain.
struct event_splitter::event_content {
    std::string_view id;      ///< empty without one
    bool has_field = false;   ///< false for comments
    bool other_field = false; ///< a field that server-sent events don't define
    bool other_text = false;  ///< a line that is neither a field nor a comment

    void add_line(std::string_view line)
    {
        const auto colon = line.find(':');
        if (colon == 0) {
            return;
        }
        has_field = true;
        const bool has_colon = colon != std::string_view::npos;
        const auto name = line.substr(0, colon);
        if (name == id_field) {
            id = has_colon ? line.substr(colon + 1) : std::string_view{};
            id.remove_prefix(id.starts_with(' ') ? 1 : 0);
            return;
        }
        if (!is_event_field(name)) {
            const bool is_field = has_colon && is_field_name(name);
            other_field = other_field || is_field;
            other_text = other_text || !is_field;
        }
    }
};

event_splitter::event_content event_splitter::read_event(std::string_view event)
{
    event_content content;
    while (true) {
        event.remove_prefix(std::min(event.find_first_not_of(line_ends), event.size()));
        if (event.empty()) {
            return content;
        }
        const auto line = event.substr(0, event.find_first_of(line_ends));
        content.add_line(line);
        event.remove_prefix(line.size());
    }
}

std::string_view to_text(event_fault fault)
{
    switch (fault) {
    case event_fault::none:
        return "none";
    case event_fault::without_id:
        return "event_without_id";
    case event_fault::not_after_last:
        return "event_not_after_last";
    case event_fault::foreign_text:
        return "text_that_is_no_event";
    case event_fault::incomplete_event:
        return "incomplete_event";
    }
    return "unknown";
}

void event_splitter::continue_after(std::string_view id)
{
    if (read_number(id)) {
        m_last_id = std::string(id);
    }
}

void event_splitter::begin_run()
{
    m_partial_event.clear();
    m_held.clear();
    m_first_id.clear();
    m_fault = event_fault::none;
    m_has_bytes = false;
    m_run_continues = !m_last_id.empty();
    m_line_empty = true;
    m_after_cr = false;
    m_field_name.clear();
    m_in_value = false;
    m_has_event_field = false;
}

/// Notes whether the bytes have a field of an event.
void event_splitter::scan_fields(std::string_view bytes)
{
    for (const char byte : bytes) {
        if (m_has_event_field) {
            return;
        }
        const bool ends_line = byte == '\r' || byte == '\n';
        if (!m_in_value && (ends_line || byte == ':')) {
            m_has_event_field = is_event_field(m_field_name);
        }
        else if (!m_in_value && m_field_name.size() <= longest_field_name) {
            m_field_name.push_back(byte);
        }
        m_in_value = !ends_line && (m_in_value || byte == ':');
        if (ends_line) {
            m_field_name.clear();
        }
    }
}

bool event_splitter::has_events() const
{
    return m_has_event_field || (!m_in_value && may_become_event_field(m_field_name));
}

std::string event_splitter::feed(std::string_view bytes)
{
    m_has_bytes = m_has_bytes || !bytes.empty();
    scan_fields(bytes);
    std::string events;
    for (const char byte : bytes) {
        if (m_fault != event_fault::none) {
            break;
        }
        m_partial_event.push_back(byte);
        const bool second_of_crlf = std::exchange(m_after_cr, byte == '\r') && byte == '\n';
        if (second_of_crlf) {
            if (m_partial_event.size() == 1) { // of the line end that completed an event
                (m_held.empty() ? events : m_held) += std::exchange(m_partial_event, {});
            }
            continue;
        }
        const bool ends_line = byte == '\r' || byte == '\n';
        if (std::exchange(m_line_empty, ends_line) && ends_line) {
            events += accept(m_partial_event);
            m_partial_event.clear();
        }
    }
    return events;
}

std::string event_splitter::finish(bool declared)
{
    if (m_fault != event_fault::none || at_event_end()) {
        return std::exchange(m_partial_event, {});
    }
    if (ends_inside_event(declared) || m_run_continues) {
        m_fault = event_fault::incomplete_event;
        return {};
    }
    return accept(m_partial_event);
}

bool event_splitter::ends_inside_event(bool declared) const
{
    return !at_event_end() && (declared || has_events());
}

std::string event_splitter::accept(std::string_view event)
{
    const auto content = read_event(event);
    const bool comment = !content.has_field;
    if (!comment) {
        m_fault = check(content);
    }
    if (m_fault != event_fault::none) {
        return {};
    }
    if (comment && m_run_continues && m_first_id.empty()) {
        m_held += event;
        return {};
    }
    auto events = std::exchange(m_held, {});
    events += event;
    return events;
}

event_fault event_splitter::check(const event_content& content)
{
    if (content.id.empty()) {
        if (!m_last_id.empty() && (content.other_field || content.other_text)) {
            return event_fault::foreign_text;
        }
        if (m_run_continues) {
            return event_fault::without_id;
        }
        m_continuable = false;
        return event_fault::none;
    }
    if (m_run_continues && content.other_text) {
        return event_fault::foreign_text;
    }
    const auto after = m_last_id.empty() ? std::optional(true) : comes_after(content.id, m_last_id);
    if (!after.value_or(!m_run_continues)) {
        return event_fault::not_after_last;
    }
    m_continuable = after.has_value() && read_number(content.id).has_value();
    m_last_id = std::string(content.id);
    if (m_first_id.empty()) {
        m_first_id = m_last_id;
    }
    return event_fault::none;
}

std::string event_splitter::pass_over(std::string bytes)
{
    m_has_bytes = m_has_bytes || !bytes.empty();
    scan_fields(bytes);
    m_partial_event += end_of(bytes);
    m_partial_event = std::string(end_of(m_partial_event));
    return bytes;
}

bool ends_inside_event(std::string_view body)
{
    event_splitter events;
    (void)events.pass_over(std::string(end_of(body)));
    return !events.at_event_end();
}

bool event_splitter::at_event_end() const noexcept
{
    std::string_view rest = m_partial_event;
    if (rest.find_first_not_of(line_ends) == std::string_view::npos) {
        return true;
    }
    if (rest.ends_with("\r\n")) {
        rest.remove_suffix(2);
    }
    else if (rest.ends_with('\r') || rest.ends_with('\n')) {
        rest.remove_suffix(1);
    }
    else {
        return false;
    }
    return rest.ends_with('\r') || rest.ends_with('\n');
}

} // namespace cardamomstream
