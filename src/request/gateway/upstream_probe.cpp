#include "cardamomstream/request/gateway/upstream_probe.h"

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::milliseconds acceptance_ttl{1'000};

} // namespace

bool upstream_probe::has_ended(const endpoint& address)
{
    if (const auto running = m_attempts.find(address); running != m_attempts.end()) {
        return boost::fibers::shared_future<bool>(running->second).get();
    }
    boost::fibers::promise<bool> done;
    m_attempts.emplace(address, done.get_future().share());
    const bool ended = !m_client.open_spare(address, connect_timeout);
    m_attempts.erase(address);
    done.set_value(ended);
    return ended;
}

reachability upstream_probe::reach(const endpoint& address)
{
    if (const auto running = m_reaching.find(address); running != m_reaching.end()) {
        return boost::fibers::shared_future<reachability>(running->second).get();
    }
    const auto now = boot_clock::now();
    std::erase_if(m_accepted_at, [&](const auto& one) { return now - one.second > acceptance_ttl; });
    if (m_accepted_at.contains(address)) {
        return reachability::accepts;
    }
    boost::fibers::promise<reachability> done;
    m_reaching.emplace(address, done.get_future().share());
    const auto found = m_client.probe(address, connect_timeout);
    if (found == reachability::accepts) {
        m_accepted_at.emplace(address, boot_clock::now());
    }
    m_reaching.erase(address);
    done.set_value(found);
    return found;
}

} // namespace cardamomstream
