#include "peer_response_writer.h"

#include "forward_codec.h"

#include <string>
#include <utility>

namespace cardamomstream {

namespace {

/// Larger chunks are split, so that each fits into a message.
constexpr std::size_t max_part_bytes = std::size_t{1024} * 1024;

error caller_lost()
{
    return {error_kind::request_timeout,
            "the VM that forwarded the request has left or reads too slowly",
            "send the request again",
            run_outcome::unknown,
            {}};
}

error no_answer()
{
    return {error_kind::internal,
            "the request was not answered",
            "report this with the request's identifier",
            run_outcome::unknown,
            {}};
}

} // namespace

peer_response_writer::peer_response_writer(std::shared_ptr<reply_stream> stream)
    : m_stream(std::move(stream))
{
}

result<void> peer_response_writer::send(const http_response& response)
{
    BOOST_OUTCOME_TRY(begin_stream(response.head));
    BOOST_OUTCOME_TRY(write_chunk(response.body));
    return end_stream();
}

result<void> peer_response_writer::refuse(const error& reason, const request_id& /*id*/)
{
    m_started = true;
    m_ended = true;
    return write(reason);
}

result<void> peer_response_writer::begin_stream(const http_response_head& head)
{
    m_started = true;
    return write(head);
}

result<void> peer_response_writer::write_chunk(std::string_view data)
{
    while (!data.empty()) {
        const auto part = data.substr(0, max_part_bytes);
        BOOST_OUTCOME_TRY(write(std::string{part}));
        data.remove_prefix(part.size());
    }
    return boost::outcome_v2::success();
}

result<void> peer_response_writer::end_stream()
{
    // The other VM may close the call as soon as it has the end, before this fiber hears that it is written.
    m_stream->watch(nullptr);
    BOOST_OUTCOME_TRY(write(forward_end{}));
    m_ended = true;
    return boost::outcome_v2::success();
}

void peer_response_writer::abort_stream()
{
    m_stream->watch(nullptr);
    m_stream->finish({grpc::StatusCode::ABORTED, "the answer ended before it was whole"});
}

void peer_response_writer::on_caller_gone(std::function<void()> notify)
{
    m_stream->watch(std::move(notify));
}

void peer_response_writer::close()
{
    m_stream->watch(nullptr);
    if (!m_started) {
        m_ended = m_stream->write(encode(forward_reply{no_answer()}));
    }
    if (!m_ended) {
        abort_stream();
        return;
    }
    m_stream->finish(grpc::Status::OK);
}

result<void> peer_response_writer::write(const forward_reply& reply)
{
    if (!m_stream->write(encode(reply))) {
        return caller_lost();
    }
    return boost::outcome_v2::success();
}

} // namespace cardamomstream
