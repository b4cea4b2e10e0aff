/// What the status of a gRPC call means to its caller.
#pragma once

#include "cardamomstream/connection/peer_client.h"
#include "cardamomstream/core/error.h"

#include <string>

#include <grpcpp/support/status.h>

namespace cardamomstream {

/// For a status that is not OK. Unless the peer refused the call, the outcome is unknown.
error call_error(const peer_address& to, const grpc::Status& status);

/// `peer_unavailable` with unknown outcome.
error peer_failed(const peer_address& to, const std::string& reason);

/// `cancelled` with unknown outcome.
error call_cancelled(const peer_address& to);

/// `request_too_large`; nothing was sent.
error message_too_large(const peer_address& to, std::size_t bytes);

} // namespace cardamomstream
