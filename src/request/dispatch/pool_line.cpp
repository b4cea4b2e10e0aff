#include "pool_line.h"

#include <utility>

namespace cardamomstream {

result<void> pool_line::add(std::shared_ptr<waiting_request> request, time_point now)
{
    const auto& query = request->query;
    BOOST_OUTCOME_TRY(m_queue.push({query.id, query.customer, query.cost, now, query.deadline}, now));
    m_waiting.emplace(query.id, std::move(request));
    return boost::outcome_v2::success();
}

bool pool_line::remove(const request_id& id)
{
    if (m_next && m_next->id == id) {
        m_next.reset();
    }
    m_queue.remove(id);
    return m_waiting.erase(id) > 0;
}

void pool_line::pump(const place_action& place, time_point now)
{
    give_up(now);
    while (place_next(place, now)) {
    }
}

void pool_line::give_up(time_point now)
{
    if (m_next && m_next->deadline <= now) {
        const auto late = m_waiting.extract(m_next->id);
        m_next.reset();
        late.mapped()->promise.set_value(error{error_kind::overloaded, "no upstream was free in time",
                                               "send the request again", run_outcome::not_run,
                                               std::chrono::seconds{1}});
    }
    for (auto& late : m_queue.take_expired(now)) {
        const auto waiting = m_waiting.extract(late.request.id);
        waiting.mapped()->promise.set_value(std::move(late.answer));
    }
}

bool pool_line::place_next(const place_action& place, time_point now)
{
    if (!m_next) {
        m_next = m_queue.pop(now);
    }
    if (!m_next) {
        return false;
    }
    const auto found = m_waiting.find(m_next->id);
    auto placed = place(found->second->query);
    if (!placed) {
        return false;
    }
    found->second->promise.set_value(std::move(*placed));
    m_waiting.erase(found);
    m_next.reset();
    return true;
}

} // namespace cardamomstream
