/// Admission of a request, with loans where this VM's part does not suffice.
#pragma once

#include "request_context.h"

#include "cardamomstream/request/loan_exchange.h"

namespace cardamomstream {

/// Reserves the charge; waits at most `allowance.loan_wait` for loans of other VMs.
/// Errors, not run: those of `allowance_book::admit`.
result<reservation> admit_with_loans(request_context& context, token_count charge);

} // namespace cardamomstream
