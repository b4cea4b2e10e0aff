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

namespace cardamomstream {

/// Who this VM is towards others, and how it proves that it belongs to the fleet.
struct peer_identity {
    vm_name vm;
    std::string credential; ///< shared by the fleet, printable ASCII; never logged
    std::optional<std::string> certificate_pem;
    std::optional<std::string> key_pem;
    /// Set with the other two: TLS, and each side accepts any certificate that this authority has signed,
    /// whatever name it holds. The authority signs for the fleet alone.
    std::optional<std::string> authority_pem;
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

    /// The next piece; blocks the calling fiber. No more than one piece is read ahead of the caller, beyond
    /// what the connection buffers, so a slow reader holds back the other VM. Errors, all with unknown
    /// outcome unless said: peer_unavailable (lost, not begun within `time_left`, or ended without
    /// `forward_end`: the answer is not whole), cancelled; permission_denied and invalid_request when the
    /// other VM refused the call (not run). After `forward_end` or an error there is nothing more.
    virtual result<forward_reply> next() = 0;

protected:
    forward_stream() = default;
};

/// Thread-safe; outlives its calls. Every call blocks the calling fiber only, on any thread that runs fibers,
/// and returns within its limit. No call is sent twice. When a call got no answer within its limit and
/// nothing else arrived on its connection meanwhile, the next call opens a new connection. Errors:
/// peer_unavailable with unknown outcome; not run: permission_denied when the peer refuses the credential,
/// request_too_large, invalid_request, invalid_settings when the credential can't be sent.
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
    result<std::size_t> hand_over(const peer_address& to, const hand_over_message& value,
                                  std::chrono::milliseconds limit);

    /// Sends a request that hops and returns at once. `cancel` belongs to the calling fiber's thread and
    /// outlives the stream. The answer has to begin within `request.time_left`; how long it may go on is up
    /// to the caller. Errors, all not run: cancelled, request_timeout when no time is left,
    /// request_too_large.
    result<std::unique_ptr<forward_stream>> forward(const peer_address& to, const forward_request& request,
                                                    cancellation& cancel);

    /// Drops the connection to a VM, so that the next call opens a new one. Calls on the old one go on.
    void reset_connection(const peer_address& to);

    /// Calls made and bytes of their messages, without transport overhead.
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
