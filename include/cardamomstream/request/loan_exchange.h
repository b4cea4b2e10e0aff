/// Asks another VM for a loan of allowance.
#pragma once

#include "cardamomstream/request/serving_parts.h"

#include <chrono>

namespace cardamomstream {

/// Asks the lender and takes its answer into the book. Blocks the calling fiber for at most `limit`. Gives
/// whether something was lent.
bool ask_for_loan(serving_parts& parts, const loan_request& request, std::chrono::milliseconds limit);

} // namespace cardamomstream
