/// Conversion of requests that hop and of their answers.
#pragma once

#include "cardamomstream/connection/peer_types.h"

#include "peer_messages.h"

namespace cardamomstream {

wire::ForwardRequest encode(const forward_request& value);
result<forward_request> decode(const wire::ForwardRequest& from);

wire::ForwardReply encode(const forward_reply& value);
result<forward_reply> decode(const wire::ForwardReply& from);

} // namespace cardamomstream
