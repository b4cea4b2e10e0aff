/// Asks another VM for a loan of allowance.
#pragma once

#include "cardamomstream/request/serving_parts.h"

#include <chrono>

namespace cardamomstream {

/// Sends the request to the lender and enters its answer in the allowance book. Blocks the calling fiber for
/// at most `limit`. Returns whether anything was lent.
bool ask_for_loan(serving_parts& parts, const loan_request& request, std::chrono::milliseconds limit);

} // namespace cardamomstream
