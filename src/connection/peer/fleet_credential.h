/// Proof that a caller belongs to the fleet.
#pragma once

#include "cardamomstream/connection/peer_client.h"
#include "cardamomstream/core/error.h"

#include <array>
#include <cstdint>
#include <string>

#include <grpcpp/client_context.h>
#include <grpcpp/server_context.h>

namespace cardamomstream {

/// Sent with every call by a client.
class fleet_credential {
public:
    explicit fleet_credential(peer_identity self);

    /// Error `invalid_settings`: the credential or the VM's name has characters that metadata can't hold.
    result<void> attach(grpc::ClientContext& context) const;

private:
    std::string m_vm;
    std::string m_credential;
    bool m_sendable = false;
};

/// Checks the callers of a server.
class credential_check {
public:
    explicit credential_check(const std::string& credential);

    /// The VM that calls. Compares in constant time. Error: `permission_denied`, without any secret in it.
    result<vm_name> sender_of(const grpc::CallbackServerContext& context) const;

private:
    std::array<std::uint8_t, 32> m_digest;
};

} // namespace cardamomstream
