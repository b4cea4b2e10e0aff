/// Decides what an answer proves about the request for which it came.
#pragma once

#include "cardamomstream/core/core_types.h"
#include "cardamomstream/request/gateway/gateway_types.h"

#include <string_view>

namespace cardamomstream {

enum class answer_proof {
    answered,          ///< an upstream's answer to this request
    not_run,           ///< this request has been refused; it has not run and will not
    foreign,           ///< it may be to another request; the answer to this one may follow
    not_from_upstream, ///< to this request, but no upstream's; it may have run
    false_promise,     ///< callers would read that it has not run, which the upstream doesn't state
};

std::string_view to_text(answer_proof proof) noexcept;

struct answer_facts {
    unsigned status = 0;
    answer_origin origin;
    request_id request; ///< that was sent; empty when it has no id
    bool first_on_connection =
        false;               ///< no other request was sent, and no other answer came on the connection
    bool by_vm = false;      ///< the request was passed on to another VM
    bool repeatable = false; ///< the request may run more than once
};

/// An answer belongs to the request of which it has the id. Upstreams return the id of every request that has
/// one; a VM that refuses a connection before it reads a request can't. An answer without an id is therefore
/// to this request only as the first on its connection, and only if it is a VM's own or the request has none.
answer_proof assess_answer(const answer_facts& answer);

/// What shows that an answer assessed as `not_run` refuses this request; for the log.
std::string_view refusal_evidence(const answer_facts& answer);

} // namespace cardamomstream
