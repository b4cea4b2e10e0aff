/// Graceful shutdown of one process.
#pragma once

#include "control_state.h"
#include "membership_controller.h"

#include "cardamomstream/connection/http_server.h"

namespace cardamomstream {

class stop_controller {
public:
    stop_controller(control_state& state, membership_controller& members, http_server& entry)
        : m_state(state)
        , m_members(members)
        , m_entry(entry)
    {
    }

    /// Announces the stop, lets running requests end within the drain limit, and hands unused tickets and
    /// kept answers to a successor. Runs in a fiber; returns when the process may exit.
    void run();

private:
    void hand_over();
    std::optional<peer_address> choose_successor() const;
    void wait_for_requests(time_point until);

    control_state& m_state;
    membership_controller& m_members;
    http_server& m_entry;
};

} // namespace cardamomstream
