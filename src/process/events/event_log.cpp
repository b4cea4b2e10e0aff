#include "cardamomstream/process/event_log.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cardamomstream {
namespace {

constexpr std::string_view key_prefix = "cs-";
constexpr std::size_t key_digits = 64;
constexpr std::string_view redacted = "[redacted]";

bool holds_key(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdefABCDEF";
    for (auto start = text.find(key_prefix); start != std::string_view::npos;
         start = text.find(key_prefix, start + 1)) {
        const auto candidate = text.substr(start + key_prefix.size());
        const auto end = candidate.find_first_not_of(digits);
        if (std::min(end, candidate.size()) >= key_digits) {
            return true;
        }
    }
    return false;
}

void clean(event_field& field)
{
    auto* text = std::get_if<std::string>(&field.value);
    if (text == nullptr) {
        return;
    }
    if (holds_key(*text)) {
        *text = redacted;
    }
    if (text->size() > max_event_text_bytes) {
        text->resize(max_event_text_bytes);
    }
}

} // namespace

event_log::event_log(vm_name vm, incarnation process, std::size_t capacity)
    : m_vm(std::move(vm))
    , m_process(process)
    , m_events(std::max<std::size_t>(capacity, 1))
{
}

event_ref event_log::append(event_draft draft, time_point now, std::chrono::system_clock::time_point wall)
{
    std::for_each(draft.fields.begin(), draft.fields.end(), clean);
    event added{
        {m_vm, m_process, 0},    now, wall, draft.kind, std::move(draft.request), std::move(draft.cause),
        std::move(draft.fields),
    };
    const std::scoped_lock lock{m_mutex};
    added.ref.sequence = ++m_last_sequence;
    m_events.push_back(std::move(added));
    return m_events.back().ref;
}

event_page event_log::since(std::uint64_t sequence, std::size_t limit) const
{
    const std::scoped_lock lock{m_mutex};
    const std::uint64_t dropped = m_last_sequence - m_events.size();
    const std::uint64_t first = std::clamp(sequence, dropped, m_last_sequence);
    const std::size_t count = std::min<std::size_t>(limit, m_last_sequence - first);
    const auto begin = m_events.begin() + static_cast<std::ptrdiff_t>(first - dropped);

    event_page page;
    page.events.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    page.next = first + count;
    page.lost = sequence < dropped ? dropped - sequence : 0;
    return page;
}

} // namespace cardamomstream
