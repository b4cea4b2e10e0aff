#include "cardamomstream/request/ticket_routing.h"

namespace cardamomstream {

ticket_route route_ticket(const ticket& value, const ticket_holder& self, const issuer_view& issuer,
                          bool passed_on, std::chrono::milliseconds max_settle_time)
{
    if (passed_on || value.id.issuer == self) {
        return decide_here{};
    }
    if (issuer.successor && issuer.process == value.id.issuer.process) {
        if (*issuer.successor == self) {
            return decide_here{};
        }
        return pass_on{*issuer.successor};
    }
    const bool is_own_predecessor = value.id.issuer.vm == self.vm;
    if (is_own_predecessor || !issuer.listed || issuer.suspected) {
        return next_hop_unreachable(value, max_settle_time);
    }
    return pass_on{value.id.issuer};
}

error next_hop_unreachable(const ticket& value, std::chrono::milliseconds max_settle_time)
{
    return {
        error_kind::outcome_unknown,
        "VM \"" + value.id.issuer.vm.str() + "\", which issued the ticket, could not be asked",
        "wait for Retry-After, read the status, and submit with a new ticket only if the call has not run",
        run_outcome::unknown, max_settle_time};
}

} // namespace cardamomstream
