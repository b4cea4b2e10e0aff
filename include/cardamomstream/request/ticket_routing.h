/// Which process decides about a call that carries a ticket. Pure functions.
#pragma once

#include "cardamomstream/request/ticket_types.h"

#include <optional>
#include <variant>

namespace cardamomstream {

/// What this VM believes about the VM that a ticket names.
struct issuer_view {
    bool listed = false;                    ///< the list still names the VM
    bool suspected = false;                 ///< a new connection to it has failed
    std::optional<incarnation> process;     ///< the one heard last
    std::optional<ticket_holder> successor; ///< named by that process while it stops
};

/// This process decides, by `ticket_book::begin`.
struct decide_here {};

/// `decide_here`, `pass_on` to the process that decides, or the final answer for the caller.
using ticket_route = std::variant<decide_here, pass_on, error>;

/// `passed_on` is true for a call that a VM of the fleet has sent here: it goes no further.
/// `longest_settle` is that of `ticket_book`, for the answer "outcome unknown".
ticket_route route_ticket(const ticket& value, const ticket_holder& self, const issuer_view& issuer,
                          bool passed_on, std::chrono::milliseconds longest_settle);

/// The answer for a call whose next hop could not be asked or did not reply.
error unknown_next_hop(const ticket& value, std::chrono::milliseconds longest_settle);

} // namespace cardamomstream
