#include "cardamomstream/connection/peer_client.h"

#include "allowance_codec.h"
#include "call_counters.h"
#include "call_error.h"
#include "channel_pool.h"
#include "configuration_codec.h"
#include "fleet_credential.h"
#include "forward_call.h"
#include "forward_codec.h"
#include "grpc_values.h"
#include "hand_over_codec.h"
#include "membership_codec.h"
#include "transport_security.h"

#include <functional>
#include <utility>

#include <boost/fiber/future.hpp>

namespace cardamomstream {

namespace {

template <class Request, class Reply>
using unary_method = void (wire::Peer::StubInterface::async_interface::*)(grpc::ClientContext*,
                                                                          const Request*, Reply*,
                                                                          std::function<void(grpc::Status)>);

/// What gRPC holds on to until the call has ended.
template <class Reply>
struct unary_call {
    explicit unary_call(std::shared_ptr<peer_channel> on)
        : channel(std::move(on))
    {
    }

    std::shared_ptr<peer_channel> channel;
    grpc::ClientContext context;
    Reply reply;
    boost::fibers::promise<grpc::Status> ended;
};

} // namespace

class peer_client::impl {
public:
    explicit impl(peer_identity self)
        : m_channels(std::make_shared<channel_pool>(client_security(self)))
        , m_credential(std::move(self))
        , m_counters(std::make_shared<call_counters>())
    {
    }

    /// Blocks the calling fiber until the reply is there or `limit` has passed.
    template <class Request, class Reply>
    result<Reply> call(const peer_address& to, const Request& request, std::chrono::milliseconds limit,
                       unary_method<Request, Reply> method)
    {
        BOOST_OUTCOME_TRY(count_sent(to, request));
        const auto started = boot_clock::now();
        auto call = std::make_shared<unary_call<Reply>>(m_channels->take(to.address, started));
        BOOST_OUTCOME_TRY(m_credential.attach(call->context));
        call->context.set_deadline(deadline_after(limit));
        auto ended = call->ended.get_future();
        (call->channel->stub().async()->*method)(
            &call->context, &request, &call->reply,
            [call](grpc::Status status) { call->ended.set_value(std::move(status)); });
        const auto status = ended.get();
        if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
            m_channels->drop_if_silent(to.address, call->channel, started);
        }
        if (!status.ok()) {
            return call_error(to, status);
        }
        call->channel->heard(boot_clock::now());
        m_counters->received_bytes += call->reply.ByteSizeLong();
        return std::move(call->reply);
    }

    result<std::unique_ptr<forward_stream>> forward(const peer_address& to, const forward_request& request,
                                                    cancellation& cancel)
    {
        if (cancel.cancelled()) {
            auto cancelled = call_cancelled(to);
            cancelled.outcome = run_outcome::not_run;
            return cancelled;
        }
        if (request.time_left.count() <= 0) {
            return no_time_left(to);
        }
        auto message = encode(request);
        BOOST_OUTCOME_TRY(count_sent(to, message));
        const auto started = boot_clock::now();
        auto call = std::make_shared<forward_call>(m_channels->take(to.address, started));
        BOOST_OUTCOME_TRY(m_credential.attach(call->context()));
        call->start(std::move(message));
        return std::make_unique<forward_call_stream>(to, std::move(call), cancel, m_channels, m_counters,
                                                     started, request.time_left);
    }

    void reset_connection(const peer_address& to) { m_channels->drop(to.address); }

    traffic counted() const
    {
        return {m_counters->sent_bytes, m_counters->received_bytes, m_counters->calls};
    }

private:
    static error no_time_left(const peer_address& to)
    {
        return {error_kind::request_timeout,
                "no time is left to forward the request to VM " + to.vm.str(),
                "send the request again with a longer limit",
                run_outcome::not_run,
                {}};
    }

    template <class Message>
    result<void> count_sent(const peer_address& to, const Message& message)
    {
        const auto bytes = message.ByteSizeLong();
        if (bytes > max_message_bytes) {
            return message_too_large(to, bytes);
        }
        m_counters->sent_bytes += bytes;
        ++m_counters->calls;
        return boost::outcome_v2::success();
    }

    std::shared_ptr<channel_pool> m_channels;
    fleet_credential m_credential;
    std::shared_ptr<call_counters> m_counters;
};

namespace {

using method = wire::Peer::StubInterface::async_interface;

/// Decodes the reply of a call.
template <class Reply>
auto read_reply(const peer_address& to, result<Reply> reply) -> decltype(decode(reply.value()))
{
    if (!reply) {
        return reply.error();
    }
    auto value = decode(reply.value());
    if (!value) {
        return peer_failed(to, value.error().message);
    }
    return value;
}

} // namespace

peer_client::peer_client(peer_identity self)
    : m_impl(std::make_unique<impl>(std::move(self)))
{
}

peer_client::~peer_client() = default;

result<exchange_reply> peer_client::exchange(const peer_address& to, const exchange_request& request,
                                             std::chrono::milliseconds limit)
{
    return read_reply(to, m_impl->call<wire::ExchangeRequest, wire::ExchangeReply>(to, encode(request), limit,
                                                                                   &method::Exchange));
}

result<read_configuration_reply> peer_client::read_configuration(const peer_address& to,
                                                                 const std::optional<version_id>& held,
                                                                 std::chrono::milliseconds limit)
{
    return read_reply(to, m_impl->call<wire::ReadConfigurationRequest, wire::ReadConfigurationReply>(
                              to, encode(held), limit, &method::ReadConfiguration));
}

result<loan_answer> peer_client::borrow(const peer_address& to, const loan_request& request,
                                        std::chrono::milliseconds limit)
{
    return read_reply(
        to, m_impl->call<wire::LoanRequest, wire::LoanAnswer>(to, encode(request), limit, &method::Borrow));
}

result<void> peer_client::return_loan(const peer_address& to, const loan_return& value,
                                      std::chrono::milliseconds limit)
{
    const auto reply =
        m_impl->call<wire::LoanReturn, wire::Empty>(to, encode(value), limit, &method::ReturnLoan);
    if (!reply) {
        return reply.error();
    }
    return boost::outcome_v2::success();
}

result<restart_answer> peer_client::ask_restart(const peer_address& to, const restart_query& query,
                                                std::chrono::milliseconds limit)
{
    return read_reply(to, m_impl->call<wire::RestartQuery, wire::RestartAnswer>(to, encode(query), limit,
                                                                                &method::AskRestart));
}

result<hand_over_invitation> peer_client::invite(const peer_address& to, std::chrono::milliseconds limit)
{
    return read_reply(to,
                      m_impl->call<wire::Empty, wire::Invitation>(to, wire::Empty{}, limit, &method::Invite));
}

result<std::size_t> peer_client::hand_over(const peer_address& to, const hand_over_message& value,
                                           std::chrono::milliseconds limit)
{
    const auto reply =
        m_impl->call<wire::HandOverRequest, wire::HandOverReply>(to, encode(value), limit, &method::HandOver);
    if (!reply) {
        return reply.error();
    }
    return decode(reply.value());
}

result<std::unique_ptr<forward_stream>>
peer_client::forward(const peer_address& to, const forward_request& request, cancellation& cancel)
{
    return m_impl->forward(to, request, cancel);
}

void peer_client::reset_connection(const peer_address& to)
{
    m_impl->reset_connection(to);
}

peer_client::traffic peer_client::counted() const
{
    return m_impl->counted();
}

} // namespace cardamomstream
