#include "stop_controller.h"

#include "cardamomstream/process/rendezvous.h"

#include <boost/fiber/operations.hpp>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

constexpr std::chrono::milliseconds announce_time{
    1'500}; ///< other VMs and callers learn of the stop meanwhile
constexpr std::chrono::milliseconds drain_poll{20};
constexpr std::chrono::milliseconds call_limit{2'000};

} // namespace

void stop_controller::run()
{
    const auto drain_until = boot_clock::now() + m_state.parts.config.stop.drain_limit;
    m_state.parts.stopping = true;
    m_state.parts.tickets.with_lock([](ticket_book& book) { book.stop_issuing(); });
    m_state.parts.events.record(event_kind::process_stopping,
                                {{"running", static_cast<std::int64_t>(m_state.service.running())}});
    spdlog::info("stopping running={}", m_state.service.running());
    boost::this_fiber::sleep_for(announce_time);
    m_entry.stop_accepting();
    hand_over();
    wait_for_requests(drain_until);
    hand_over();
    m_state.parts.events.record(event_kind::process_stopped);
    m_state.stopped = true;
}

std::optional<peer_address> stop_controller::choose_successor() const
{
    const auto& config = m_state.parts.config;
    std::vector<vm_name> candidates;
    for (const auto& vm : m_state.members.believed_live(config.data_centre)) {
        if (vm != config.vm && m_state.members.is_usable(vm)) {
            candidates.push_back(vm);
        }
    }
    if (candidates.empty()) {
        for (const auto& vm : m_state.members.believed_live()) {
            if (vm != config.vm && m_state.members.is_usable(vm)) {
                candidates.push_back(vm);
            }
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto ranked = rank_by_rendezvous(config.vm.str(), candidates);
    return peer_address{ranked.front(), m_state.members.find(ranked.front())->peer};
}

void stop_controller::hand_over()
{
    const auto successor = choose_successor();
    if (!successor) {
        return;
    }
    const auto invitation = m_state.parts.peers.invite(*successor, call_limit);
    if (!invitation) {
        spdlog::warn("ticket hand-over failed vm={} message=\"{}\"", successor->vm.str(),
                     invitation.error().message);
        return;
    }
    const auto value = m_state.parts.tickets.with_lock(
        [&](ticket_book& book) { return book.hand_over(invitation.value(), boot_clock::now()); });
    m_members.set_successor({invitation.value().successor.vm, invitation.value().successor.process});
    const auto taken = m_state.parts.peers.hand_over(*successor, value, call_limit);
    m_state.parts.events.record(event_kind::ticket_handed_over,
                                {{"vm", successor->vm.str()},
                                 {"tickets", static_cast<std::int64_t>(value.tickets.size())},
                                 {"taken", taken.has_value()}});
}

void stop_controller::wait_for_requests(time_point until)
{
    while (m_state.service.running() > 0 && boot_clock::now() < until) {
        boost::this_fiber::sleep_for(drain_poll);
    }
    m_entry.close_idle(); // requests of which a part has come are answered
    while (m_entry.open_connections() > 0 && boot_clock::now() < until) {
        boost::this_fiber::sleep_for(drain_poll);
    }
}

} // namespace cardamomstream
