/// gRPC credentials: TLS with certificates on both sides, or plain connections.
#pragma once

#include "cardamomstream/connection/peer_client.h"

#include <memory>

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

namespace cardamomstream {

/// Whether all three PEM values are set.
bool uses_tls(const peer_identity& self);

/// Accepts any server whose certificate comes from the fleet's own authority: VMs are replaced all the time
/// and called by IP number, so certificates are not bound to a host name.
std::shared_ptr<grpc::ChannelCredentials> client_security(const peer_identity& self);

/// Requires a certificate from the fleet's own authority.
std::shared_ptr<grpc::ServerCredentials> server_security(const peer_identity& self);

} // namespace cardamomstream
