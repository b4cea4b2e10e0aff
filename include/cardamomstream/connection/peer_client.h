/// Calls to other VMs over gRPC.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/connection/peer_types.h"
#include "cardamomstream/process/allowance_types.h"
#include "cardamomstream/request/ticket_types.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace cardamomstream {

/// Who this VM is towards others, and how it proves that it belongs to the fleet.
struct peer_identity {
    vm_name vm;
    std::string credential; ///< shared by the fleet; never logged
    std::optional<std::string> certificate_pem;
    std::optional<std::string> key_pem;
    std::optional<std::string> authority_pem; ///< set with the other two: TLS with certificates on both sides
};

/// A VM to call.
struct peer_address {
    vm_name vm;
    endpoint address;
};

/// The answer to a forwarded request, read piece by piece. Destroying it before the end cancels the request
/// at the other VM.
class forward_stream {
public:
    virtual ~forward_stream() = default;
    forward_stream(const forward_stream&) = delete;
    forward_stream& operator=(const forward_stream&) = delete;
    forward_stream(forward_stream&&) = delete;
    forward_stream& operator=(forward_stream&&) = delete;

    /// The next piece; blocks the calling fiber. Errors: peer_unavailable (unknown outcome: the request may
    /// have arrived), cancelled. After `forward_end` or an error there is nothing more.
    virtual result<forward_reply> next() = 0;

protected:
    forward_stream() = default;
};

/// Thread-safe. Every call blocks the calling fiber only, on any thread that runs fibers. A call that gets no
/// answer within its limit on a connection that was quiet is tried on a new connection by the next call.
/// Errors: peer_unavailable with outcome unknown; permission_denied when the peer refuses the credential.
class peer_client {
public:
    explicit peer_client(peer_identity self);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    peer_client(peer_client&&) = delete;
    peer_client& operator=(peer_client&&) = delete;

    result<exchange_reply> exchange(const peer_address& to, const exchange_request& request,
                                    std::chrono::milliseconds limit);
    result<read_configuration_reply> read_configuration(const peer_address& to,
                                                        const std::optional<version_id>& held,
                                                        std::chrono::milliseconds limit);
    result<loan_answer> borrow(const peer_address& to, const loan_request& request,
                               std::chrono::milliseconds limit);
    result<void> return_loan(const peer_address& to, const loan_return& value,
                             std::chrono::milliseconds limit);
    result<restart_answer> ask_restart(const peer_address& to, const restart_query& query,
                                       std::chrono::milliseconds limit);
    result<hand_over_invitation> invite(const peer_address& to, std::chrono::milliseconds limit);
    result<std::size_t> hand_over(const peer_address& to, const hand_over_value& value,
                                  std::chrono::milliseconds limit);

    /// Sends a request that hops. `cancel` belongs to the calling fiber's thread.
    result<std::unique_ptr<forward_stream>> forward(const peer_address& to, const forward_request& request,
                                                    cancellation& cancel);

    /// Drops the connection to a VM, so that the next call opens a new one.
    void reset_connection(const peer_address& to);

    /// Bytes of messages sent and received, without transport overhead.
    struct traffic {
        std::uint64_t sent_bytes = 0;
        std::uint64_t received_bytes = 0;
        std::uint64_t calls = 0;
    };
    traffic counted() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cardamomstream
