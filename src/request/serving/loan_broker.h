/// Admits requests, with loans from other VMs if this VM's part of the allowance does not suffice.
#pragma once

#include "request_context.h"

#include "cardamomstream/request/loan_exchange.h"

namespace cardamomstream {

/// Reserves the charge; waits at most `allowance.loan_wait` for loans from other VMs.
/// Errors, not run: those of `allowance_book::admit`.
result<reservation> admit_with_loans(request_context& context, token_count charge);

} // namespace cardamomstream
