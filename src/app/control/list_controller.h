/// Follows the platform's list of VMs and upstreams.
#pragma once

#include "control_state.h"

namespace cardamomstream {

/// Takes a version of the list, from the platform or from a peer. Gives whether it was newer and could be
/// read.
bool take_list(control_state& state, version_number version, const std::string& text);

class list_controller {
public:
    explicit list_controller(control_state& state)
        : m_state(state)
    {
    }

    /// Watches the list until the process stops. Runs in a fiber.
    void read_list();

private:
    control_state& m_state;
};

} // namespace cardamomstream
