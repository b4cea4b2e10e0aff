#include "cardamomstream/process/start_decision.h"

#include <algorithm>

namespace cardamomstream {

start_decision::start_decision(start_settings settings, const std::vector<vm_name>& peers, time_point now)
    : m_settings(settings)
    , m_deadline(now + settings.answer_timeout)
{
    for (const auto& peer : peers) {
        m_peers[peer] = {};
    }
}

void start_decision::service_answered(const std::optional<version_id>& id)
{
    m_service = {answer_state::answered, id};
}

void start_decision::service_failed()
{
    m_service = {answer_state::failed, {}};
}

void start_decision::peer_answered(const vm_name& vm, const std::optional<version_id>& id)
{
    m_peers[vm] = {answer_state::answered, id};
}

void start_decision::peer_failed(const vm_name& vm)
{
    m_peers[vm] = {answer_state::failed, {}};
}

void start_decision::mark_unusable(const version_id& id)
{
    m_unusable.insert(id);
}

start_step start_decision::next(const std::optional<version_id>& held, time_point now) const
{
    if (!all_answered() && now < m_deadline) {
        return start_wait{m_deadline};
    }
    std::optional<version_id> best = held;
    start_step step = start_wait{now + m_settings.answer_timeout};
    if (held) {
        step = start_serving{*held};
    }
    const auto consider = [&](const source& from, const start_step& take) {
        if (from.id && !m_unusable.contains(*from.id) && (!best || *from.id > *best)) {
            best = from.id;
            step = take;
        }
    };
    if (m_service.id) {
        consider(m_service, take_from_service{*m_service.id});
    }
    for (const auto& [vm, peer] : m_peers) {
        if (peer.id) {
            consider(peer, take_from_peer{vm, *peer.id});
        }
    }
    return step;
}

bool start_decision::all_answered() const
{
    return m_service.state != answer_state::awaited &&
           std::all_of(m_peers.begin(), m_peers.end(),
                       [](const auto& peer) { return peer.second.state != answer_state::awaited; });
}

} // namespace cardamomstream
