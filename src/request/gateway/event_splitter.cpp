#include "cardamomstream/request/gateway/event_splitter.h"

#include <algorithm>

namespace cardamomstream {

namespace {

constexpr std::string_view boundary = "\n\n";
constexpr std::string_view id_field = "id:";

} // namespace

std::string event_splitter::take(std::string_view bytes)
{
    // What was searched before holds no boundary, but one may begin with its last byte.
    const auto searched = m_rest.size() - std::min<std::size_t>(m_rest.size(), 1);
    m_rest.append(bytes);
    const auto found = std::string_view(m_rest).substr(searched).rfind(boundary);
    if (found == std::string_view::npos) {
        return {};
    }
    const auto end = searched + found;
    auto whole = m_rest.substr(0, end + boundary.size());
    m_rest.erase(0, end + boundary.size());
    note_ids(whole);
    return whole;
}

void event_splitter::note_ids(std::string_view events)
{
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            m_last_id = std::string(line.substr(0, line.find('\r')));
        }
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
    }
}

} // namespace cardamomstream
