#include "peer_service.h"

#include "allowance_codec.h"
#include "configuration_codec.h"
#include "forward_codec.h"
#include "hand_over_codec.h"
#include "membership_codec.h"
#include "peer_response_writer.h"
#include "reply_stream.h"

#include "cardamomstream/connection/contained_call.h"

#include <utility>

#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

grpc::Status refused(const error& reason)
{
    return {grpc::StatusCode::PERMISSION_DENIED, reason.message};
}

grpc::Status unreadable(const error& reason)
{
    return {grpc::StatusCode::INVALID_ARGUMENT, reason.message};
}

} // namespace

peer_service::peer_service(const peer_identity& self, traffic_thread& control, traffic_group& traffic,
                           peer_handlers handlers)
    : m_check(self.credential)
    , m_control(control)
    , m_traffic(traffic)
    , m_handlers(std::move(handlers))
{
}

grpc::ServerWriteReactor<wire::ForwardReply>* peer_service::Forward(grpc::CallbackServerContext* context,
                                                                    const wire::ForwardRequest* request)
{
    const auto index = m_next_thread++ % m_traffic.size();
    auto stream = reply_stream::open(*context, m_traffic[index]);
    const auto sender = sender_of(*context);
    if (!sender) {
        stream->finish(refused(sender.error()));
        return stream.get();
    }
    auto value = decode(*request);
    if (!value) {
        stream->finish(unreadable(value.error()));
        return stream.get();
    }
    m_traffic[index].spawn([this, stream, index, sender = sender.value(), value = std::move(value).value()] {
        peer_response_writer writer(stream);
        (void)run_contained("the handler of a forwarded request failed", // the writer ends the call
                            [&] { m_handlers.forward(sender, value, index, writer); });
        writer.close();
    });
    return stream.get();
}

grpc::ServerUnaryReactor* peer_service::Exchange(grpc::CallbackServerContext* context,
                                                 const wire::ExchangeRequest* request,
                                                 wire::ExchangeReply* reply)
{
    return serve(*context, *request, *reply, m_handlers.exchange);
}

grpc::ServerUnaryReactor* peer_service::ReadConfiguration(grpc::CallbackServerContext* context,
                                                          const wire::ReadConfigurationRequest* request,
                                                          wire::ReadConfigurationReply* reply)
{
    return serve(*context, *request, *reply,
                 [this](const vm_name& /*sender*/, const std::optional<version_id>& held) {
                     return m_handlers.read_configuration(held);
                 });
}

grpc::ServerUnaryReactor* peer_service::Borrow(grpc::CallbackServerContext* context,
                                               const wire::LoanRequest* request, wire::LoanAnswer* reply)
{
    return serve(*context, *request, *reply, [this](const vm_name& /*sender*/, const loan_request& value) {
        return m_handlers.borrow(value);
    });
}

grpc::ServerUnaryReactor* peer_service::ReturnLoan(grpc::CallbackServerContext* context,
                                                   const wire::LoanReturn* request, wire::Empty* /*reply*/)
{
    return answer_in_fiber(*context, [this, request](const vm_name& /*sender*/) {
        const auto value = decode(*request);
        if (!value) {
            return unreadable(value.error());
        }
        m_handlers.return_loan(value.value());
        return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor* peer_service::AskRestart(grpc::CallbackServerContext* context,
                                                   const wire::RestartQuery* request,
                                                   wire::RestartAnswer* reply)
{
    return serve(*context, *request, *reply, [this](const vm_name& /*sender*/, const restart_query& value) {
        return m_handlers.ask_restart(value);
    });
}

grpc::ServerUnaryReactor* peer_service::Invite(grpc::CallbackServerContext* context,
                                               const wire::Empty* /*request*/, wire::Invitation* reply)
{
    return answer_in_fiber(*context, [this, reply](const vm_name& /*sender*/) {
        *reply = encode(m_handlers.invite());
        return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor* peer_service::HandOver(grpc::CallbackServerContext* context,
                                                 const wire::HandOverRequest* request,
                                                 wire::HandOverReply* reply)
{
    return serve(*context, *request, *reply,
                 [this](const vm_name& /*sender*/, const hand_over_message& value) {
                     return m_handlers.hand_over(value);
                 });
}

template <class Request, class Reply, class Handler>
grpc::ServerUnaryReactor* peer_service::serve(grpc::CallbackServerContext& context, const Request& request,
                                              Reply& reply, Handler handler)
{
    // gRPC keeps request and reply until the reactor is finished.
    return answer_in_fiber(context, [&request, &reply, handler = std::move(handler)](const vm_name& sender) {
        const auto value = decode(request);
        if (!value) {
            return unreadable(value.error());
        }
        reply = encode(handler(sender, value.value()));
        return grpc::Status::OK;
    });
}

grpc::ServerUnaryReactor*
peer_service::answer_in_fiber(grpc::CallbackServerContext& context,
                              std::function<grpc::Status(const vm_name& sender)> answer)
{
    auto* reactor = context.DefaultReactor();
    const auto sender = sender_of(context);
    if (!sender) {
        reactor->Finish(refused(sender.error()));
        return reactor;
    }
    m_control.spawn(
        [reactor, sender = sender.value(), answer = std::move(answer)] { reactor->Finish(answer(sender)); });
    return reactor;
}

result<vm_name> peer_service::sender_of(const grpc::CallbackServerContext& context) const
{
    auto sender = m_check.sender_of(context);
    if (!sender) {
        spdlog::warn("refused a call between VMs from {}: {}", context.peer(), describe(sender.error()));
    }
    return sender;
}

} // namespace cardamomstream
