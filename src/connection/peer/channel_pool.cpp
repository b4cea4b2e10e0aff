#include "channel_pool.h"

#include "grpc_library.h"
#include "grpc_values.h"

#include <chrono>
#include <utility>

#include <grpcpp/create_channel.h>
#include <grpcpp/support/channel_arguments.h>

namespace cardamomstream {

namespace {

using std::chrono::milliseconds;

/// A connection with running calls is pinged after this much silence and closed if the ping gets no answer.
constexpr milliseconds keepalive_time{10'000};
constexpr milliseconds keepalive_timeout{5'000};
constexpr milliseconds connect_timeout{2'000};
constexpr milliseconds first_reconnect_pause{100};
constexpr milliseconds longest_reconnect_pause{1'000};
/// An idle connection is closed after this time; the channel stays and connects again when it is used.
constexpr milliseconds idle_timeout{120'000};
/// A channel that was not used for this long is let go.
constexpr std::chrono::minutes channel_lifetime{5};

grpc::ChannelArguments channel_arguments()
{
    grpc::ChannelArguments arguments;
    // Otherwise a new channel to the same address would share the connection of the old one.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // A request that hops is sent at most once.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, count_of(keepalive_time));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, count_of(keepalive_timeout));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, count_of(connect_timeout));
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, count_of(first_reconnect_pause));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, count_of(longest_reconnect_pause));
    arguments.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, count_of(idle_timeout));
    arguments.SetMaxReceiveMessageSize(static_cast<int>(max_message_bytes));
    return arguments;
}

} // namespace

peer_channel::peer_channel(const std::shared_ptr<grpc::Channel>& channel)
    : m_stub(wire::Peer::NewStub(channel))
{
}

void peer_channel::heard(time_point now) noexcept
{
    m_heard = now;
}

bool peer_channel::heard_since(time_point since) const noexcept
{
    return m_heard.load() > since;
}

channel_pool::channel_pool(std::shared_ptr<grpc::ChannelCredentials> security)
    : m_security(std::move(security))
{
    keep_grpc_loaded();
}

std::shared_ptr<peer_channel> channel_pool::take(const endpoint& address, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_channels.find(address);
    if (found != m_channels.end()) {
        found->second.used = now;
        return found->second.channel;
    }
    drop_unused(now);
    auto channel = std::make_shared<peer_channel>(
        grpc::CreateCustomChannel(target_of(address), m_security, channel_arguments()));
    m_channels.emplace(address, entry{channel, now});
    return channel;
}

void channel_pool::drop(const endpoint& address)
{
    const std::lock_guard lock(m_mutex);
    m_channels.erase(address);
}

void channel_pool::drop_if_silent(const endpoint& address, const std::shared_ptr<peer_channel>& channel,
                                  time_point since)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_channels.find(address);
    if (found == m_channels.end() || found->second.channel != channel || channel->heard_since(since)) {
        return;
    }
    m_channels.erase(found);
}

void channel_pool::drop_unused(time_point now)
{
    std::erase_if(m_channels, [now](const auto& item) {
        return item.second.channel.use_count() == 1 && now - item.second.used > channel_lifetime;
    });
}

} // namespace cardamomstream
