#include "pool_line.h"

#include <utility>

namespace cardamomstream {

result<void> pool_queue::add(std::shared_ptr<waiting_request> request, time_point now)
{
    const auto& query = request->query;
    BOOST_OUTCOME_TRY(m_queue.push({query.id, query.customer, query.cost, now, query.deadline}, now));
    m_waiting.emplace(query.id, std::move(request));
    return boost::outcome_v2::success();
}

bool pool_queue::remove(const request_id& id)
{
    if (m_next && m_next->id == id) {
        m_next.reset();
    }
    m_queue.remove(id);
    return m_waiting.erase(id) > 0;
}

void pool_queue::grant_waiting(const grant_action& try_grant, time_point now)
{
    refuse_expired(now);
    while (grant_next(try_grant, now)) {
    }
}

void pool_queue::refuse_expired(time_point now)
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

bool pool_queue::grant_next(const grant_action& try_grant, time_point now)
{
    if (!m_next) {
        m_next = m_queue.pop(now);
    }
    if (!m_next) {
        return false;
    }
    const auto found = m_waiting.find(m_next->id);
    auto granted = try_grant(found->second->query);
    if (!granted) {
        return false;
    }
    found->second->promise.set_value(std::move(*granted));
    m_waiting.erase(found);
    m_next.reset();
    return true;
}

} // namespace cardamomstream
