/// The server's side of one forwarded request.
#pragma once

#include "cardamomstream/connection/traffic_thread.h"

#include "peer_messages.h"

#include <functional>
#include <memory>

#include <boost/fiber/future.hpp>
#include <grpcpp/server_context.h>
#include <grpcpp/support/server_callback.h>

namespace cardamomstream {

/// Writes replies one at a time. Belongs to a fiber of one traffic thread; keeps itself alive until gRPC is
/// done with it.
class reply_stream final : public grpc::ServerWriteReactor<wire::ForwardReply>,
                           public std::enable_shared_from_this<reply_stream> {
public:
    static std::shared_ptr<reply_stream> open(grpc::CallbackServerContext& context, traffic_thread& thread);
    reply_stream(grpc::CallbackServerContext& context, traffic_thread& thread);

    /// Blocks the fiber until the other VM has room for the reply. False: it has left or reads too slowly.
    bool write(wire::ForwardReply reply);

    /// Ends the call; the first call counts.
    void finish(const grpc::Status& status);

    /// Calls `notify` on the traffic thread if the other VM cancels the request or is lost. Null ends this.
    void watch(std::function<void()> notify);
    bool is_gone() const noexcept { return m_gone; }

private:
    void OnWriteDone(bool ok) override;
    void OnCancel() override;
    void OnDone() override;

    void note_gone();

    grpc::CallbackServerContext& m_context;
    traffic_thread& m_thread;
    std::shared_ptr<reply_stream> m_self;
    wire::ForwardReply m_reply;
    boost::fibers::promise<bool> m_written;
    bool m_broken = false;
    bool m_finished = false;
    bool m_gone = false;            // used on the traffic thread only
    std::function<void()> m_notify; // used on the traffic thread only
};

} // namespace cardamomstream
