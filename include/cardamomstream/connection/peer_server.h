/// Serves the calls of other VMs over gRPC.
#pragma once

#include "cardamomstream/connection/peer_client.h"
#include "cardamomstream/connection/peer_types.h"
#include "cardamomstream/connection/response_writer.h"
#include "cardamomstream/connection/traffic_group.h"

#include <functional>
#include <memory>

namespace cardamomstream {

/// What the host does with each call. Unary handlers run in fibers of the control thread; `forward` runs in a
/// fiber of the traffic thread with the given index and answers through the writer, as for a caller; the
/// writer is valid until the handler returns. `sender` is the VM that calls; the credential proves that it
/// belongs to the fleet, and the name is what it says of itself. All handlers must be set.
struct peer_handlers {
    std::function<exchange_reply(const vm_name& sender, const exchange_request&)> exchange;
    std::function<read_configuration_reply(const std::optional<version_id>& held)> read_configuration;
    std::function<loan_answer(const loan_request&)> borrow;
    std::function<void(const loan_return&)> return_loan;
    std::function<restart_answer(const restart_query&)> ask_restart;
    std::function<hand_over_invitation()> invite;
    std::function<result<std::size_t>(const hand_over_message&)> hand_over;
    std::function<void(const vm_name& sender, const forward_request&, std::size_t thread, response_writer&)>
        forward;
};

/// Listens on one address; the bind is exclusive. Calls without the fleet's credential are refused and
/// logged. The threads outlive the server and run until it has stopped.
class peer_server {
public:
    peer_server(peer_identity self, traffic_thread& control, traffic_group& traffic, peer_handlers handlers);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    peer_server(peer_server&&) = delete;
    peer_server& operator=(peer_server&&) = delete;

    /// Returns the address with the port that was bound; port 0 takes a free one. Call it once.
    /// Errors: invalid_settings when the address cannot be bound or a certificate is not valid.
    result<endpoint> listen(const endpoint& address);

    /// Takes no new calls, lets running ones end until `limit` has passed, then cancels them (forwarded
    /// requests hear it through `on_caller_gone`) and waits until their handlers have returned. Blocks the
    /// calling fiber only.
    void stop(std::chrono::milliseconds limit);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cardamomstream
