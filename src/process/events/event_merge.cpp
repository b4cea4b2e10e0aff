#include "cardamomstream/process/event_merge.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

namespace cardamomstream {
namespace {

/// Orders events by the Kahn algorithm: of the events whose predecessors all stand, the one with the earliest
/// wall time comes next.
class event_merger {
public:
    explicit event_merger(std::vector<event> events)
        : m_events(std::move(events))
    {
        std::sort(m_events.begin(), m_events.end(),
                  [](const event& left, const event& right) { return left.ref < right.ref; });
        const auto same = [](const event& left, const event& right) { return left.ref == right.ref; };
        m_events.erase(std::unique(m_events.begin(), m_events.end(), same), m_events.end());
        m_successors.resize(m_events.size());
        m_predecessors_left.resize(m_events.size());
        m_shown_at.resize(m_events.size());
    }

    std::vector<timeline_entry> merge()
    {
        link();
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            m_shown_at[i] = m_events[i].wall;
            m_waiting.insert(place_of(i));
            if (m_predecessors_left[i] == 0) {
                m_ready.insert(place_of(i));
            }
        }
        while (!m_waiting.empty()) {
            // Only forged causes make a cycle; it is broken at its earliest event.
            emit((m_ready.empty() ? *m_waiting.begin() : *m_ready.begin()).second);
        }
        return std::move(m_timeline);
    }

private:
    using place = std::pair<std::chrono::system_clock::time_point, std::size_t>;

    place place_of(std::size_t index) const { return {m_events[index].wall, index}; }

    void link()
    {
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            const event_ref& ref = m_events[i].ref;
            const bool follows_previous =
                i > 0 && m_events[i - 1].ref.vm == ref.vm && m_events[i - 1].ref.process == ref.process;
            if (follows_previous) {
                add_successor(i - 1, i);
            }
            if (m_events[i].cause) {
                link_cause(i, *m_events[i].cause);
            }
        }
    }

    void link_cause(std::size_t index, const event_ref& cause)
    {
        const auto found =
            std::lower_bound(m_events.begin(), m_events.end(), cause,
                             [](const event& left, const event_ref& right) { return left.ref < right; });
        if (found != m_events.end() && found->ref == cause) {
            add_successor(static_cast<std::size_t>(found - m_events.begin()), index);
        }
    }

    void add_successor(std::size_t before, std::size_t after)
    {
        m_successors[before].push_back(after);
        ++m_predecessors_left[after];
    }

    void emit(std::size_t index)
    {
        m_waiting.erase(place_of(index));
        m_ready.erase(place_of(index));
        for (const std::size_t after : m_successors[index]) {
            m_shown_at[after] = std::max(m_shown_at[after], m_shown_at[index]);
            --m_predecessors_left[after];
            if (m_predecessors_left[after] == 0 && m_waiting.contains(place_of(after))) {
                m_ready.insert(place_of(after));
            }
        }
        m_timeline.push_back({std::move(m_events[index]), m_shown_at[index]});
    }

    std::vector<event> m_events;                        ///< sorted by name, each once
    std::vector<std::vector<std::size_t>> m_successors; ///< indexes of events that follow
    std::vector<std::size_t> m_predecessors_left;
    std::vector<std::chrono::system_clock::time_point> m_shown_at;
    std::set<place> m_waiting; ///< not yet on the time line
    std::set<place> m_ready;   ///< of these, no predecessor is left
    std::vector<timeline_entry> m_timeline;
};

} // namespace

std::vector<timeline_entry> merge_events(std::vector<event> events)
{
    return event_merger{std::move(events)}.merge();
}

} // namespace cardamomstream
