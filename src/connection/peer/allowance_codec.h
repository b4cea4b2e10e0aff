/// Conversion of allowance loans.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/allowance_types.h"

#include "peer_messages.h"

namespace cardamomstream {

wire::LoanRequest encode(const loan_request& value);
result<loan_request> decode(const wire::LoanRequest& from);

wire::LoanAnswer encode(const loan_answer& value);
result<loan_answer> decode(const wire::LoanAnswer& from);

wire::LoanReturn encode(const loan_return& value);
result<loan_return> decode(const wire::LoanReturn& from);

wire::RestartQuery encode(const restart_query& value);
result<restart_query> decode(const wire::RestartQuery& from);

wire::RestartAnswer encode(const restart_answer& value);
result<restart_answer> decode(const wire::RestartAnswer& from);

} // namespace cardamomstream
