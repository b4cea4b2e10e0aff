#include "cardamomstream/connection/peer_server.h"

#include "grpc_library.h"
#include "grpc_values.h"
#include "peer_service.h"
#include "transport_security.h"

#include <string>
#include <thread>
#include <utility>

#include <boost/fiber/future.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace cardamomstream {

namespace {

using std::chrono::milliseconds;

/// A connection with running calls is pinged after this much silence and closed if the ping gets no answer.
constexpr milliseconds keepalive_time{10'000};
constexpr milliseconds keepalive_timeout{5'000};
/// A client closes its idle connections earlier; what is left belongs to VMs that are gone.
constexpr milliseconds idle_timeout{300'000};
/// Clients that ping more often are disconnected.
constexpr milliseconds shortest_ping_interval{5'000};

void add_arguments(grpc::ServerBuilder& builder)
{
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, count_of(keepalive_time));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, count_of(keepalive_timeout));
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, count_of(idle_timeout));
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               count_of(shortest_ping_interval));
    builder.SetMaxReceiveMessageSize(static_cast<int>(max_message_bytes));
}

error cannot_listen(const endpoint& address, bool with_tls)
{
    const std::string certificates = with_tls ? " with the certificates given" : "";
    return {error_kind::invalid_settings,
            "cannot listen for other VMs on " + address.str() + certificates,
            "choose an address of this machine that no other process uses" +
                std::string{with_tls ? " and check the PEM files" : ""},
            {},
            {}};
}

} // namespace

class peer_server::impl {
public:
    impl(peer_identity self, traffic_thread& control, traffic_group& traffic, peer_handlers handlers)
        : m_self(std::move(self))
        , m_service(m_self, control, traffic, std::move(handlers))
    {
        keep_grpc_loaded();
    }

    result<endpoint> listen(const endpoint& address)
    {
        grpc::ServerBuilder builder;
        int port = 0;
        add_arguments(builder);
        builder.AddListeningPort(host_and_port(address), server_security(m_self), &port);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
        if (!m_server || port == 0) {
            m_server.reset();
            return cannot_listen(address, uses_tls(m_self));
        }
        return endpoint{address.address, static_cast<std::uint16_t>(port)};
    }

    void stop(milliseconds limit)
    {
        if (!m_server) {
            return;
        }
        // Shutdown blocks its thread, while the calls that it waits for may need the caller's.
        boost::fibers::promise<void> stopped;
        std::thread waiter([&] {
            m_server->Shutdown(deadline_after(limit));
            stopped.set_value();
        });
        stopped.get_future().wait();
        waiter.join();
        m_server.reset();
    }

private:
    peer_identity m_self;
    peer_service m_service;
    std::unique_ptr<grpc::Server> m_server;
};

peer_server::peer_server(peer_identity self, traffic_thread& control, traffic_group& traffic,
                         peer_handlers handlers)
    : m_impl(std::make_unique<impl>(std::move(self), control, traffic, std::move(handlers)))
{
}

peer_server::~peer_server()
{
    stop(milliseconds{0});
}

result<endpoint> peer_server::listen(const endpoint& address)
{
    return m_impl->listen(address);
}

void peer_server::stop(milliseconds limit)
{
    m_impl->stop(limit);
}

} // namespace cardamomstream
