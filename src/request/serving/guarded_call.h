/// Calls that run at most once.
#pragma once

#include "attempt_runner.h"
#include "request_context.h"

#include <string>

namespace cardamomstream {

/// Header in which a caller presents its ticket.
inline constexpr std::string_view ticket_header = "X-Ticket";

/// Answers a call with a ticket: runs it here, replays its answer, passes it on to the VM that issued the
/// ticket, or refuses it. Without a ticket the answer is 428 with a fresh one.
/// `passed_on` is true for a call that another VM has sent here.
/// Errors are final answers.
result<void> serve_guarded(request_context& context, const upstream_work& work,
                           const std::string& ticket_text, bool passed_on);

} // namespace cardamomstream
