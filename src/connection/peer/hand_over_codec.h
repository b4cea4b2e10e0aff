/// Conversion of the tickets that a leaving VM hands over.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/request/ticket_types.h"

#include "peer_messages.h"

#include <cstddef>

namespace cardamomstream {

wire::Invitation encode(const hand_over_invitation& value);
result<hand_over_invitation> decode(const wire::Invitation& from);

wire::HandOverRequest encode(const hand_over_message& value);
result<hand_over_message> decode(const wire::HandOverRequest& from);

/// Number of tickets taken, or why none was.
wire::HandOverReply encode(const result<std::size_t>& taken);
result<std::size_t> decode(const wire::HandOverReply& from);

} // namespace cardamomstream
