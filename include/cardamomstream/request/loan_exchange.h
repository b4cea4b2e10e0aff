/// Requests a loan of allowance from another VM.
#pragma once

#include "cardamomstream/request/serving_parts.h"

#include <chrono>

namespace cardamomstream {

/// Sends the request to its lender and adds the granted loan to the allowance book. Blocks the calling fiber
/// for at most `limit`. Returns whether burst or level was lent.
bool ask_for_loan(serving_parts& parts, const loan_request& request, std::chrono::milliseconds limit);

} // namespace cardamomstream
