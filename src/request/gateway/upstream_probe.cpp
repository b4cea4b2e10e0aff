#include "cardamomstream/request/gateway/upstream_probe.h"

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds connect_timeout{300};
constexpr std::chrono::milliseconds made_ttl{1'000};

/// The system may still accept for a process that is ending, and reset the connection then.
constexpr std::chrono::milliseconds ending_settle_time{30};

} // namespace

reachability upstream_probe::after_break(const endpoint& address)
{
    return attempt(m_ended_attempts, address, ending_settle_time);
}

reachability upstream_probe::reach(const endpoint& address)
{
    const auto now = boot_clock::now();
    std::erase_if(m_made_at, [&](const auto& one) { return now - one.second > made_ttl; });
    if (m_made_at.contains(address)) {
        return reachability::accepts;
    }
    const auto found = attempt(m_reach_attempts, address, std::chrono::milliseconds{0});
    if (found == reachability::accepts || found == reachability::closes) {
        m_made_at.insert_or_assign(address, boot_clock::now());
    }
    return found;
}

reachability upstream_probe::attempt(attempts& running, const endpoint& address,
                                     std::chrono::milliseconds settle_time)
{
    if (const auto found = running.find(address); found != running.end()) {
        return boost::fibers::shared_future<reachability>(found->second).get();
    }
    boost::fibers::promise<reachability> done;
    running.emplace(address, done.get_future().share());
    const auto reached = m_client.probe(address, connect_timeout, settle_time);
    running.erase(address);
    done.set_value(reached);
    return reached;
}

} // namespace cardamomstream
