/// Follows the platform's list of VMs and upstreams.
#pragma once

#include "control_state.h"

namespace cardamomstream {

class list_controller {
public:
    explicit list_controller(control_state& state)
        : m_state(state)
    {
    }

    /// Watches the list until the process stops. Runs in a fiber.
    void read_list();

private:
    /// Gives whether the list was newer and could be read.
    bool take(version_number version, const std::string& text);

    control_state& m_state;
};

} // namespace cardamomstream
