#include "reply_stream.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace cardamomstream {

namespace {

/// For one reply to a VM that reads slowly.
constexpr std::chrono::milliseconds write_timeout{30'000};

} // namespace

std::shared_ptr<reply_stream> reply_stream::open(grpc::CallbackServerContext& context, traffic_thread& thread)
{
    auto stream = std::make_shared<reply_stream>(context, thread);
    stream->m_self = stream;
    return stream;
}

reply_stream::reply_stream(grpc::CallbackServerContext& context, traffic_thread& thread)
    : m_context(context)
    , m_thread(thread)
{
}

bool reply_stream::write(wire::ForwardReply reply)
{
    if (m_gone || m_broken || m_finished) {
        return false;
    }
    m_reply = std::move(reply);
    m_written = boost::fibers::promise<bool>();
    auto written = m_written.get_future();
    StartWrite(&m_reply);
    if (written.wait_for(write_timeout) != boost::fibers::future_status::ready) {
        m_broken = true;
        m_context.TryCancel();
        return false;
    }
    m_broken = !written.get();
    return !m_broken;
}

void reply_stream::finish(const grpc::Status& status)
{
    if (std::exchange(m_finished, true)) {
        return;
    }
    Finish(status);
}

void reply_stream::watch(std::function<void()> notify)
{
    m_notify = std::move(notify);
    if (m_gone && m_notify) {
        std::exchange(m_notify, nullptr)();
    }
}

void reply_stream::OnWriteDone(bool ok)
{
    // The fiber may start the next write as soon as the promise is set.
    auto written = std::move(m_written);
    written.set_value(ok);
}

void reply_stream::OnCancel()
{
    boost::asio::post(m_thread.io(), [self = shared_from_this()] { self->note_gone(); });
}

void reply_stream::OnDone()
{
    m_self.reset();
}

void reply_stream::note_gone()
{
    m_gone = true;
    if (m_notify) {
        std::exchange(m_notify, nullptr)();
    }
}

} // namespace cardamomstream
