/// Keeps the allowance of this VM in step with the fleet: versions, loans ahead of need, returns, restarts.
#pragma once

#include "control_state.h"

#include <set>

namespace cardamomstream {

/// Tells the allowance which rules are in force, here and at the other VMs.
void apply_versions(control_state& state);

class allowance_controller {
public:
    explicit allowance_controller(control_state& state)
        : m_state(state)
    {
    }

    /// One turn; call a few times a second.
    void tick();

private:
    void borrow_ahead();
    void send_returns();
    void ask_after_restart();

    control_state& m_state;
    time_point m_next_restart_query;
    std::set<vm_name> m_answered_restart;
};

} // namespace cardamomstream
