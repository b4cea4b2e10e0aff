#include "cardamomstream/request/gateway/event_splitter.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace {

constexpr std::string_view line_ends = "\r\n";
constexpr std::string_view id_field = "id:";

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    std::string events;
    for (const char byte : bytes) {
        m_partial_event.push_back(byte);
        const bool second_of_crlf = std::exchange(m_after_cr, byte == '\r') && byte == '\n';
        if (second_of_crlf) {
            if (m_partial_event.size() == 1) { // of the line end that completed an event
                events += std::exchange(m_partial_event, {});
            }
            continue;
        }
        const bool ends_line = byte == '\r' || byte == '\n';
        if (std::exchange(m_line_empty, ends_line) && ends_line) {
            update_last_id(m_partial_event);
            events += std::exchange(m_partial_event, {});
        }
    }
    return events;
}

void event_splitter::update_last_id(std::string_view event)
{
    while (!event.empty()) {
        auto line = event.substr(0, event.find_first_of(line_ends));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            m_last_id = std::string(line);
            if (m_first_id.empty()) {
                m_first_id = m_last_id;
            }
        }
    }
}

std::string event_splitter::pass_over(std::string bytes)
{
    constexpr std::size_t longest_blank_line = 3; // CRLF after the end of another line
    m_partial_event.append(bytes, bytes.size() - std::min(bytes.size(), longest_blank_line));
    m_partial_event.erase(0, m_partial_event.size() - std::min(m_partial_event.size(), longest_blank_line));
    return bytes;
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
