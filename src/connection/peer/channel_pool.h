/// One connection to each VM that is called.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include "peer_messages.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <grpcpp/channel.h>
#include <grpcpp/security/credentials.h>

namespace cardamomstream {

/// A connection to one VM. Thread-safe.
class peer_channel {
public:
    explicit peer_channel(const std::shared_ptr<grpc::Channel>& channel);

    wire::Peer::Stub& stub() noexcept { return *m_stub; }

    /// Notes that a message of the VM arrived.
    void heard(time_point now) noexcept;
    bool heard_since(time_point since) const noexcept;

private:
    std::unique_ptr<wire::Peer::Stub> m_stub;
    std::atomic<time_point> m_heard{time_point::min()};
};

/// Keeps the connections open between calls and lets go of those that were not used for long. Thread-safe.
class channel_pool {
public:
    explicit channel_pool(std::shared_ptr<grpc::ChannelCredentials> security);

    std::shared_ptr<peer_channel> take(const endpoint& address, time_point now);

    /// The next `take` opens a new connection. Calls on the old one go on.
    void drop(const endpoint& address);

    /// Drops the connection if `channel` is still the one in use and nothing arrived on it after `since`.
    void drop_if_silent(const endpoint& address, const std::shared_ptr<peer_channel>& channel,
                        time_point since);

private:
    struct entry {
        std::shared_ptr<peer_channel> channel;
        time_point used;
    };

    void drop_unused(time_point now);

    std::shared_ptr<grpc::ChannelCredentials> m_security;
    std::mutex m_mutex;
    std::unordered_map<endpoint, entry> m_channels;
};

} // namespace cardamomstream
