#include "forward_call.h"

#include "call_error.h"
#include "forward_codec.h"

#include <utility>

namespace cardamomstream {

using boost::outcome_v2::failure;

forward_call::forward_call(std::shared_ptr<peer_channel> channel)
    : m_channel(std::move(channel))
{
}

void forward_call::start(wire::ForwardRequest request)
{
    m_self = shared_from_this();
    m_request = std::move(request);
    m_channel->stub().async()->Forward(&m_context, &m_request, this);
    // Reads are started from outside of gRPC's callbacks.
    AddHold();
    m_held = true;
    StartCall();
}

forward_call::read_future forward_call::read()
{
    auto future = expect_reply();
    if (future) {
        StartRead(&m_message);
        return std::move(*future);
    }
    boost::fibers::promise<bool> ended;
    ended.set_value(false);
    return ended.get_future();
}

std::optional<forward_call::read_future> forward_call::expect_reply()
{
    const std::lock_guard lock(m_mutex);
    if (m_done) {
        return std::nullopt;
    }
    m_reader.emplace();
    return m_reader->get_future();
}

void forward_call::cancel()
{
    m_context.TryCancel();
}

void forward_call::release()
{
    cancel();
    remove_hold();
}

void forward_call::OnReadDone(bool ok)
{
    if (!ok) {
        remove_hold();
        return;
    }
    finish_read(true);
}

void forward_call::OnDone(const grpc::Status& status)
{
    const auto self = std::move(m_self);
    m_status = status;
    finish_read(false);
}

void forward_call::remove_hold()
{
    if (m_held.exchange(false)) {
        RemoveHold();
    }
}

void forward_call::finish_read(bool has_message)
{
    std::optional<boost::fibers::promise<bool>> reader;
    {
        const std::lock_guard lock(m_mutex);
        m_done = !has_message;
        reader = std::exchange(m_reader, std::nullopt);
    }
    if (reader) {
        reader->set_value(has_message);
    }
}

forward_call_stream::forward_call_stream(peer_address to, std::shared_ptr<forward_call> call,
                                         cancellation& cancel, std::shared_ptr<channel_pool> channels,
                                         std::shared_ptr<call_counters> counters, time_point started,
                                         std::chrono::milliseconds time_to_begin)
    : m_to(std::move(to))
    , m_call(std::move(call))
    , m_cancel(&cancel)
    , m_channels(std::move(channels))
    , m_counters(std::move(counters))
    , m_started(started)
    , m_time_to_begin(time_to_begin)
{
}

forward_call_stream::~forward_call_stream()
{
    m_call->release();
}

result<forward_reply> forward_call_stream::next()
{
    if (m_finished) {
        return failure(error{*m_finished});
    }
    if (m_cancel->cancelled()) {
        return failure(finish(call_cancelled(m_to)));
    }
    const auto waited = wait_for_message();
    if (m_cancel->cancelled()) {
        return failure(finish(call_cancelled(m_to)));
    }
    switch (waited) {
    case wait_result::message:
        return take_message();
    case wait_result::timed_out:
        return failure(finish(peer_failed(m_to, "the answer did not begin in time")));
    case wait_result::ended:
        break;
    }
    return failure(finish(reason_of_end()));
}

forward_call_stream::wait_result forward_call_stream::wait_for_message()
{
    auto reading = m_call->read();
    m_cancel->set_action([call = m_call] { call->cancel(); });
    const bool in_time = m_begun || begins_in_time(reading);
    if (!in_time) {
        m_cancel->clear_action();
        m_channels->drop_if_silent(m_to.address, m_call->channel(), m_started);
        return wait_result::timed_out;
    }
    const bool has_message = reading.get();
    m_cancel->clear_action();
    return has_message ? wait_result::message : wait_result::ended;
}

bool forward_call_stream::begins_in_time(forward_call::read_future& reading) const
{
    const auto passed = boot_clock::now() - m_started;
    return reading.wait_for(m_time_to_begin - passed) == boost::fibers::future_status::ready;
}

result<forward_reply> forward_call_stream::take_message()
{
    m_begun = true;
    m_call->channel()->heard(boot_clock::now());
    m_counters->received_bytes += m_call->message().ByteSizeLong();
    auto reply = decode(m_call->message());
    if (!reply) {
        return failure(finish(peer_failed(m_to, reply.error().message)));
    }
    const bool is_last =
        std::holds_alternative<forward_end>(reply.value()) || std::holds_alternative<error>(reply.value());
    if (is_last) {
        finish(peer_failed(m_to, "the answer has ended"));
    }
    return reply;
}

error forward_call_stream::reason_of_end() const
{
    if (m_call->status().ok()) {
        return peer_failed(m_to, "the answer ended before it was whole");
    }
    return call_error(m_to, m_call->status());
}

error forward_call_stream::finish(error reason)
{
    m_finished = std::move(reason);
    return *m_finished;
}

} // namespace cardamomstream
