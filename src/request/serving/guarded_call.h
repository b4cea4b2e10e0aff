/// Serves calls of routes that run a call at most once.
#pragma once

#include "attempt_runner.h"
#include "request_context.h"

#include <string>

namespace cardamomstream {

/// Request header that carries the ticket.
inline constexpr std::string_view ticket_header = "X-Ticket";

/// Serves a call with a ticket: runs it here, replays its kept answer, passes it on to the process that holds
/// the ticket, or refuses it. A call without a ticket is answered with 428 and a new ticket.
/// `passed_on` is true for a call that another VM passed on. Errors are final.
result<void> serve_at_most_once(request_context& context, const upstream_work& work,
                                const std::string& ticket_text, bool passed_on);

} // namespace cardamomstream
