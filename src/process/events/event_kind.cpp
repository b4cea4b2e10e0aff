#include "cardamomstream/process/event_kind.h"

#include <algorithm>
#include <array>

namespace cardamomstream {
namespace {

struct kind_text {
    event_kind kind;
    std::string_view word;
    std::string_view phrase;
};

constexpr std::array kind_texts{
    kind_text{event_kind::process_started, "process_started", "started"},
    kind_text{event_kind::process_stopping, "process_stopping", "began to stop"},
    kind_text{event_kind::process_stopped, "process_stopped", "stopped"},
    kind_text{event_kind::configuration_accepted, "configuration_accepted",
              "accepted a version of the rules"},
    kind_text{event_kind::configuration_refused, "configuration_refused", "refused a version of the rules"},
    kind_text{event_kind::configuration_behind, "configuration_behind", "is behind the newest rules"},
    kind_text{event_kind::vm_suspected, "vm_suspected", "suspected a VM"},
    kind_text{event_kind::vm_alive, "vm_alive", "heard from a VM"},
    kind_text{event_kind::vm_left, "vm_left", "saw a VM leave"},
    kind_text{event_kind::list_changed, "list_changed", "read a new list of VMs"},
    kind_text{event_kind::request_received, "request_received", "received the request"},
    kind_text{event_kind::request_admitted, "request_admitted", "admitted it within the allowance"},
    kind_text{event_kind::request_refused, "request_refused", "refused it"},
    kind_text{event_kind::request_queued, "request_queued", "queued it"},
    kind_text{event_kind::request_routed, "request_routed", "chose where to run it"},
    kind_text{event_kind::request_forwarded, "request_forwarded", "forwarded it to another VM"},
    kind_text{event_kind::forward_received, "forward_received", "received it from another VM"},
    kind_text{event_kind::request_first_byte, "request_first_byte", "got the first byte of the answer"},
    kind_text{event_kind::request_finished, "request_finished", "finished it"},
    kind_text{event_kind::request_cancelled, "request_cancelled", "cancelled it"},
    kind_text{event_kind::request_retried, "request_retried", "tried it again"},
    kind_text{event_kind::request_hedged, "request_hedged", "sent a second copy of it"},
    kind_text{event_kind::key_withdrawn, "key_withdrawn", "ended it because its key was withdrawn"},
    kind_text{event_kind::loan_asked, "loan_asked", "asked for a loan of allowance"},
    kind_text{event_kind::loan_granted, "loan_granted", "was granted a loan of allowance"},
    kind_text{event_kind::loan_ended, "loan_ended", "ended a loan of allowance"},
    kind_text{event_kind::loan_refused, "loan_refused", "was refused a loan of allowance"},
    kind_text{event_kind::ticket_issued, "ticket_issued", "issued a ticket"},
    kind_text{event_kind::ticket_started, "ticket_started", "started its one run"},
    kind_text{event_kind::ticket_finished, "ticket_finished", "finished its one run"},
    kind_text{event_kind::ticket_refused, "ticket_refused", "refused its ticket"},
    kind_text{event_kind::ticket_passed_on, "ticket_passed_on", "passed it on to the ticket's issuer"},
    kind_text{event_kind::ticket_handed_over, "ticket_handed_over", "handed its ticket to a successor"},
    kind_text{event_kind::upstream_suspected, "upstream_suspected", "suspected an upstream"},
    kind_text{event_kind::upstream_restored, "upstream_restored", "found an upstream well again"},
    kind_text{event_kind::upstream_leaving, "upstream_leaving", "saw an upstream leave"},
    kind_text{event_kind::unknown, "unknown", "did something that this release does not know"},
};

const kind_text& text_of(event_kind kind) noexcept
{
    const auto* found = std::find_if(kind_texts.begin(), kind_texts.end(),
                                     [&](const kind_text& text) { return text.kind == kind; });
    return found == kind_texts.end() ? kind_texts.back() : *found;
}

} // namespace

std::string_view word_of(event_kind kind) noexcept
{
    return text_of(kind).word;
}

event_kind event_kind_of(std::string_view word) noexcept
{
    const auto* found = std::find_if(kind_texts.begin(), kind_texts.end(),
                                     [&](const kind_text& text) { return text.word == word; });
    return found == kind_texts.end() ? event_kind::unknown : found->kind;
}

std::string_view phrase_of(event_kind kind) noexcept
{
    return text_of(kind).phrase;
}

} // namespace cardamomstream
