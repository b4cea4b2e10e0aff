/// The gRPC service: checks who calls, converts, and runs the host's handlers in fibers.
#pragma once

#include "cardamomstream/connection/peer_server.h"

#include "fleet_credential.h"
#include "peer_messages.h"

#include <atomic>
#include <cstddef>
#include <functional>

namespace cardamomstream {

/// gRPC calls it from its own threads.
class peer_service final : public wire::Peer::CallbackService {
public:
    peer_service(const peer_identity& self, traffic_thread& control, traffic_group& traffic,
                 peer_handlers handlers);

    grpc::ServerWriteReactor<wire::ForwardReply>* Forward(grpc::CallbackServerContext* context,
                                                          const wire::ForwardRequest* request) override;
    grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                       const wire::ExchangeRequest* request,
                                       wire::ExchangeReply* reply) override;
    grpc::ServerUnaryReactor* ReadConfiguration(grpc::CallbackServerContext* context,
                                                const wire::ReadConfigurationRequest* request,
                                                wire::ReadConfigurationReply* reply) override;
    grpc::ServerUnaryReactor* Borrow(grpc::CallbackServerContext* context, const wire::LoanRequest* request,
                                     wire::LoanAnswer* reply) override;
    grpc::ServerUnaryReactor* ReturnLoan(grpc::CallbackServerContext* context,
                                         const wire::LoanReturn* request, wire::Empty* reply) override;
    grpc::ServerUnaryReactor* AskRestart(grpc::CallbackServerContext* context,
                                         const wire::RestartQuery* request,
                                         wire::RestartAnswer* reply) override;
    grpc::ServerUnaryReactor* Invite(grpc::CallbackServerContext* context, const wire::Empty* request,
                                     wire::Invitation* reply) override;
    grpc::ServerUnaryReactor* HandOver(grpc::CallbackServerContext* context,
                                       const wire::HandOverRequest* request,
                                       wire::HandOverReply* reply) override;

private:
    /// Runs `answer` for a proved sender in a fiber of the control thread.
    grpc::ServerUnaryReactor* answer_in_fiber(grpc::CallbackServerContext& context,
                                              std::function<grpc::Status(const vm_name& sender)> answer);

    /// Decodes the request, and encodes what `handler` makes of it.
    template <class Request, class Reply, class Handler>
    grpc::ServerUnaryReactor* serve(grpc::CallbackServerContext& context, const Request& request,
                                    Reply& reply, Handler handler);

    result<vm_name> sender_of(const grpc::CallbackServerContext& context) const;

    credential_check m_check;
    traffic_thread& m_control;
    traffic_group& m_traffic;
    peer_handlers m_handlers;
    std::atomic<std::size_t> m_next_thread = 0;
};

} // namespace cardamomstream
