/// Conversion of what VMs tell each other about themselves.
#pragma once

#include "cardamomstream/connection/peer_types.h"

#include "peer_messages.h"

namespace cardamomstream {

wire::Membership encode(const membership_message& value);
result<membership_message> decode(const wire::Membership& from);

wire::ExchangeRequest encode(const exchange_request& value);
result<exchange_request> decode(const wire::ExchangeRequest& from);

wire::ExchangeReply encode(const exchange_reply& value);
result<exchange_reply> decode(const wire::ExchangeReply& from);

} // namespace cardamomstream
