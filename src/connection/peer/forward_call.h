/// One forwarded request and the answer that streams back.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/connection/peer_client.h"
#include "cardamomstream/core/boot_clock.h"

#include "call_counters.h"
#include "channel_pool.h"
#include "peer_messages.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/fiber/future.hpp>
#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>

namespace cardamomstream {

/// The gRPC side: reads one message at a time, when it is asked to, so that a slow reader holds back the
/// writer. Keeps itself alive until gRPC is done with it.
class forward_call final : public grpc::ClientReadReactor<wire::ForwardReply>,
                           public std::enable_shared_from_this<forward_call> {
public:
    /// True: `message` holds the next reply. False: the call has ended with `status`.
    using read_future = boost::fibers::future<bool>;

    explicit forward_call(std::shared_ptr<peer_channel> channel);

    grpc::ClientContext& context() noexcept { return m_context; }
    void start(wire::ForwardRequest request);

    /// Call again only after the last future is ready. The future is always set in the end.
    read_future read();
    void cancel();
    /// No more reads follow; cancels what still runs.
    void release();

    const wire::ForwardReply& message() const noexcept { return m_message; }
    const grpc::Status& status() const noexcept { return m_status; }
    const std::shared_ptr<peer_channel>& channel() const noexcept { return m_channel; }

private:
    void OnReadDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

    std::optional<read_future> expect_reply();
    void remove_hold();
    void finish_read(bool has_message);

    std::shared_ptr<peer_channel> m_channel;
    grpc::ClientContext m_context;
    wire::ForwardRequest m_request;
    wire::ForwardReply m_message;
    grpc::Status m_status;
    std::shared_ptr<forward_call> m_self;
    std::atomic<bool> m_held = false;
    std::mutex m_mutex;
    bool m_done = false;                                  // guarded by m_mutex
    std::optional<boost::fibers::promise<bool>> m_reader; // guarded by m_mutex
};

/// The fiber's side.
class forward_call_stream final : public forward_stream {
public:
    /// `call` was started at `started`; its answer has to begin within `time_to_begin`.
    forward_call_stream(peer_address to, std::shared_ptr<forward_call> call, cancellation& cancel,
                        std::shared_ptr<channel_pool> channels, std::shared_ptr<call_counters> counters,
                        time_point started, std::chrono::milliseconds time_to_begin);
    ~forward_call_stream() override;
    forward_call_stream(const forward_call_stream&) = delete;
    forward_call_stream& operator=(const forward_call_stream&) = delete;
    forward_call_stream(forward_call_stream&&) = delete;
    forward_call_stream& operator=(forward_call_stream&&) = delete;

    result<forward_reply> next() override;

private:
    enum class wait_result { message, ended, timed_out };

    wait_result wait_for_message();
    bool begins_in_time(forward_call::read_future& reading) const;
    result<forward_reply> take_message();
    error reason_of_end() const;
    error finish(error reason);

    peer_address m_to;
    std::shared_ptr<forward_call> m_call;
    cancellation* m_cancel;
    std::shared_ptr<channel_pool> m_channels;
    std::shared_ptr<call_counters> m_counters;
    time_point m_started;
    std::chrono::milliseconds m_time_to_begin;
    bool m_begun = false;
    std::optional<error> m_finished;
};

} // namespace cardamomstream
