/// Exchanges heartbeats with other VMs and tries connections to silent ones.
#pragma once

#include "configuration_controller.h"
#include "control_state.h"

#include "cardamomstream/connection/peer_types.h"

#include <set>

namespace cardamomstream {

class membership_controller {
public:
    membership_controller(control_state& state, configuration_controller& configuration)
        : m_state(state)
        , m_configuration(configuration)
    {
    }

    /// One turn: notices a pause, sends the heartbeats that are due, tries silent VMs.
    void tick();

    /// Another VM's heartbeat has arrived.
    exchange_reply receive(const vm_name& sender, const exchange_request& request);

    /// Names the process that serves this VM's tickets from now on.
    void set_successor(const named_successor& successor) { m_successor = successor; }

private:
    void send(const heartbeat_target& target);
    void try_connection(const vm_name& vm);
    void note_answer(const peer_address& peer, const result<exchange_reply>& reply,
                     std::chrono::milliseconds took);
    heartbeat own_heartbeat();
    void publish_changes();

    control_state& m_state;
    configuration_controller& m_configuration;
    std::optional<named_successor> m_successor;
    std::map<vm_name, member_state> m_published;
    std::set<vm_name> m_trying; ///< VMs to which a new connection is being tried
};

} // namespace cardamomstream
