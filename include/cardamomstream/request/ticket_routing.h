/// Selects the process that decides about a call with a ticket. Pure functions.
#pragma once

#include "cardamomstream/request/ticket_types.h"

#include <optional>
#include <variant>

namespace cardamomstream {

/// What this VM knows about the VM that issued a ticket.
struct issuer_view {
    bool listed = false;                    ///< the VM is still in the VM list
    bool suspected = false;                 ///< a connection attempt to it has failed
    std::optional<incarnation> process;     ///< the process last heard from
    std::optional<ticket_holder> successor; ///< named by that process while stopping
};

/// This process decides, by `ticket_book::begin`.
struct decide_here {};

/// `decide_here`, `pass_on` to the process that decides, or the final error for the caller.
using ticket_route = std::variant<decide_here, pass_on, error>;

/// `passed_on` is true for a call that another VM of the fleet passed on; it is not passed on again.
/// `max_settle_time` is `ticket_book::max_settle_time()`, the `retry_after` of an unknown outcome.
ticket_route route_ticket(const ticket& value, const ticket_holder& self, const issuer_view& issuer,
                          bool passed_on, std::chrono::milliseconds max_settle_time);

/// The error for a call whose next hop could not be reached or did not reply.
error next_hop_unreachable(const ticket& value, std::chrono::milliseconds max_settle_time);

} // namespace cardamomstream
