#include "cardamomstream/request/gateway/event_splitter.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::string_view boundary = "\n\n";
constexpr std::string_view id_field = "id:";

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    // The bytes searched before contain no boundary, but one may start at their last byte.
    const auto searched = m_partial_event.size() - std::min<std::size_t>(m_partial_event.size(), 1);
    m_partial_event.append(bytes);
    const auto found = std::string_view(m_partial_event).substr(searched).rfind(boundary);
    if (found == std::string_view::npos) {
        return {};
    }
    const auto end = searched + found;
    auto whole = m_partial_event.substr(0, end + boundary.size());
    m_partial_event.erase(0, end + boundary.size());
    update_last_id(whole);
    return whole;
}

std::string event_splitter::pass_over(std::string bytes)
{
    m_partial_event.append(bytes, bytes.size() - std::min(bytes.size(), boundary.size()));
    if (m_partial_event.ends_with(boundary)) {
        m_partial_event.clear();
    }
    m_partial_event.erase(0, m_partial_event.size() - std::min(m_partial_event.size(), boundary.size()));
    return bytes;
}

void event_splitter::update_last_id(std::string_view events)
{
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            m_last_id = std::string(line.substr(0, line.find('\r')));
            if (m_first_id.empty()) {
                m_first_id = m_last_id;
            }
        }
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
    }
}

} // namespace cardamomstream
