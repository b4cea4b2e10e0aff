/// Keeps the rules in force at their newest version, from the service and from peers.
#pragma once

#include "control_state.h"

#include "cardamomstream/connection/peer_types.h"

#include <set>

namespace cardamomstream {

class configuration_controller {
public:
    explicit configuration_controller(control_state& state)
        : m_state(state)
    {
    }

    /// Reads the service whenever its schedule says so, until the process stops. Runs in a fiber.
    void read_service();

    /// Asks the seeds and the listed VMs until a version is held. Runs in a fiber.
    void start_from_peers();

    /// A peer has told which version it holds; asks it for a newer one.
    void note_peer(const peer_address& peer, const std::optional<version_id>& held);

    /// The answer to a peer that asks.
    read_configuration_reply answer(const std::optional<version_id>& held) const;

    /// The process slept: nothing is confirmed until someone answers.
    void forget_confirmation();

    bool is_reader() const;

private:
    void take(const offer_result& verdict, const std::string& source);
    void confirm(std::chrono::milliseconds age);
    void fetch_from(const peer_address& peer, std::optional<version_id> held);
    std::vector<peer_address> peers_to_ask() const;

    control_state& m_state;
    std::set<vm_name> m_asking; ///< peers that are being asked for a newer version
};

} // namespace cardamomstream
