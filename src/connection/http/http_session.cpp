#include "http_session.h"

#include "cardamomstream/connection/contained_call.h"
#include "cardamomstream/connection/error_response.h"
#include "cardamomstream/connection/io_deadline.h"
#include "cardamomstream/connection/use_fiber.h"
#include "cardamomstream/core/boot_clock.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace http = boost::beast::http;

namespace {

http_request to_request(const http::request<http::buffer_body>& message, std::string&& body)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(body);
    return request;
}

/// A caller may send its next request as the stated time ends.
constexpr std::chrono::milliseconds idle_slack{1'000};

constexpr std::chrono::milliseconds provisional_retry_delay{500};

/// A body is kept in steps of this size, so that one that is announced but doesn't come takes no memory.
constexpr std::size_t body_step_bytes = std::size_t{64} * 1024;
constexpr std::size_t first_body_step_bytes = std::size_t{4} * 1024; ///< of a body without a length

/// Larger ones are read in few calls of the system.
constexpr std::size_t body_read_bytes = std::size_t{16} * 1024;

/// For connections whose senders have stalled, until their memory is free.
constexpr std::chrono::milliseconds memory_wait{200};
constexpr std::chrono::milliseconds memory_poll{5};
constexpr std::chrono::milliseconds memory_retry_delay{1'000};

error no_memory()
{
    return {error_kind::overloaded, "this VM has no memory left for the request",
            "come back after the time given", run_outcome::not_run, memory_retry_delay};
}

/// `provisional`: the limits of sizes may be larger in fact.
error read_error(boost::beast::error_code ec, bool provisional)
{
    if (provisional && (ec == http::error::header_limit || ec == http::error::body_limit)) {
        return {error_kind::platform_unavailable, "the limits of requests aren't known yet",
                "try again shortly", run_outcome::not_run, provisional_retry_delay};
    }
    if (ec == http::error::header_limit) {
        return {error_kind::header_too_large,
                "the request's headers are too large",
                "send fewer or shorter headers",
                {},
                {}};
    }
    if (ec == http::error::body_limit) {
        return {
            error_kind::request_too_large, "the request's body is too large", "send a smaller body", {}, {}};
    }
    if (ec == boost::asio::error::no_memory) {
        return no_memory();
    }
    if (ec == boost::beast::error::timeout) {
        return {error_kind::request_timeout,
                "the request was not received in time",
                "send the whole request at once",
                {},
                {}};
    }
    return {error_kind::invalid_request,
            "malformed HTTP request: " + ec.message(),
            "send a well-formed HTTP/1.1 request",
            {},
            {}};
}

constexpr unsigned http_1_1 = 11;

/// True when the headers leave no doubt where the request ends and which host it is for.
bool is_unambiguous(const http::request<http::buffer_body>& message)
{
    if (message.count(http::field::transfer_encoding) > 0 &&
        !boost::beast::iequals(message[http::field::transfer_encoding], "chunked")) {
        return false;
    }
    const auto hosts = message.count(http::field::host);
    return hosts == 1 || (hosts == 0 && message.version() < http_1_1);
}

/// HTTP forbids it, so that it can't be passed on.
bool is_trace_with_body(const http::request_parser<http::buffer_body>& incoming)
{
    return incoming.get().method() == http::verb::trace &&
           (incoming.chunked() || incoming.content_length().value_or(0) > 0);
}

/// After the last answer of a connection, for what its caller still sends: a close with unread bytes resets
/// the connection, which destroys what the caller hasn't received yet.
constexpr std::chrono::milliseconds lingering_time{300};
constexpr std::size_t lingering_read_bytes = 16 * 1024;

/// The rest of a request that is too large is discarded within the time that a body may take, up to these
/// limits: many callers read no answer before they have sent everything.
constexpr std::chrono::milliseconds max_discard_silence{2'000};
constexpr std::uint64_t max_discarded_bytes = std::uint64_t{64} * 1024 * 1024;

error write_error()
{
    return {error_kind::request_timeout,
            "the caller has left or reads too slowly",
            "keep the connection open and read the answer",
            {},
            {}};
}

} // namespace

http_session::http_session(boost::asio::ip::tcp::socket socket, std::size_t thread,
                           std::shared_ptr<session_context> context)
    : m_stream(std::move(socket))
    , m_thread(thread)
    , m_context(std::move(context))
    , m_limits(m_context->limits.load())
    , m_buffer(make_read_buffer(m_context->read_memory))
{
}

void http_session::run()
{
    boost::beast::error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    while (serve_one()) {
    }
    if (m_ended) {
        close_after_answer();
    }
    else {
        close();
    }
}

void http_session::close_after_answer()
{
    auto& socket = m_stream.socket();
    boost::beast::error_code ec;
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    m_stream.expires_never();
    m_buffer.clear();
    const auto until = boot_clock::now() + (m_too_large ? m_limits->body_timeout : lingering_time);
    std::uint64_t discarded = 0;
    while (!ec && discarded < max_discarded_bytes) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - boot_clock::now());
        if (left <= std::chrono::milliseconds::zero()) {
            break;
        }
        const io_deadline deadline(socket, std::min(left, max_discard_silence));
        std::size_t length = 0;
        std::tie(ec, length) = socket.async_read_some(m_buffer.prepare(lingering_read_bytes), use_fiber);
        discarded += length;
    }
    close();
}

bool http_session::serve_one()
{
    m_started = false;
    m_ended = false;
    // Without a parser, so that an idle connection that ends is no malformed request.
    const auto idle = await_request();
    if (idle != idle_end::request) {
        if (idle == idle_end::idle_timeout) {
            note_unserved("idle");
        }
        return false;
    }
    m_limits = m_context->limits.load();
    parser incoming;
    incoming.header_limit(std::min(m_limits->max_header_bytes, longest_header_bytes));
    incoming.body_limit(m_limits->max_body_bytes);
    if (auto ec = read_request(incoming)) {
        m_too_large = ec == http::error::body_limit || ec == http::error::header_limit;
        refuse_malformed(ec);
        return false;
    }
    answer(incoming);
    // What the answer's head said holds: a stop that began since then closes with the next answer.
    return m_ended && m_keep_alive && m_stream.socket().is_open();
}

/// Waits for the first bytes of a request, for the time that is in force when it ends, or that the last
/// answer stated if that is longer.
http_session::idle_end http_session::await_request()
{
    const auto idle_since = boot_clock::now();
    auto idle_time = m_stated_idle_time;
    while (m_buffer.size() == 0) {
        if (m_context->ending && !has_unread_bytes()) {
            return idle_end::closed;
        }
        idle_time = std::max(idle_time, m_context->limits.load()->idle_timeout);
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(idle_since + idle_time + idle_slack -
                                                                       boot_clock::now());
        if (left <= std::chrono::milliseconds::zero() && !has_unread_bytes()) {
            return idle_end::idle_timeout;
        }
        m_stream.expires_never();
        const io_deadline deadline(m_stream.socket(), std::max(left, std::chrono::milliseconds{1}));
        m_idle = true;
        auto [ec, length] = m_stream.async_read_some(m_buffer.prepare(1024), use_fiber);
        m_idle = false;
        m_buffer.commit(length);
        // A request may have come before the wait was ended.
        if (ec && !deadline.expired() &&
            !(ec == boost::asio::error::operation_aborted && has_unread_bytes())) {
            return idle_end::closed;
        }
    }
    return idle_end::request;
}

bool http_session::has_unread_bytes()
{
    boost::beast::error_code ec;
    const auto count = m_stream.socket().available(ec);
    return !ec && count > 0;
}

boost::beast::error_code http_session::read_request(parser& incoming)
{
    if (auto ec = read_head(incoming)) {
        return ec;
    }
    m_waits_for_first_request = false;
    if (!is_unambiguous(incoming.get())) {
        return http::error::bad_field;
    }
    if (is_trace_with_body(incoming)) {
        return http::error::bad_method;
    }
    if (boost::beast::iequals(incoming.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        m_stream.expires_after(m_limits->write_timeout);
        auto [ec, n] = boost::asio::async_write(m_stream, boost::asio::buffer(go_on), use_fiber);
        if (ec) {
            return ec;
        }
    }
    return read_body(incoming);
}

boost::beast::error_code http_session::read_head(parser& incoming)
{
    m_stream.expires_never();
    const io_deadline deadline(m_stream.socket(), m_limits->header_timeout);
    auto [ec, n] = http::async_read_header(m_stream, m_buffer, incoming, use_fiber);
    if (ec && deadline.expired()) {
        return boost::beast::error::timeout;
    }
    return ec;
}

/// Reads the body in steps whose memory is reserved first.
boost::beast::error_code http_session::read_body(parser& incoming)
{
    m_body.clear();
    if (incoming.is_done()) {
        return {};
    }
    const auto until = boot_clock::now() + m_limits->body_timeout;
    m_reads_body = true;
    m_body_refused = false;
    m_body_account.emplace(
        m_context->bodies,
        [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                boost::asio::post(self->m_stream.get_executor(), [self] { self->cut_body(); });
            }
        },
        boot_clock::now());
    if (incoming.content_length().value_or(0) > m_buffer.capacity()) {
        widen_buffer(static_cast<std::size_t>(*incoming.content_length()));
    }
    incoming.eager(true); // many short chunks are read at once
    auto& space = incoming.get().body();
    std::size_t length = 0;
    while (!incoming.is_done()) {
        if (length == m_body.size() && !extend_body(incoming)) {
            return boost::asio::error::no_memory;
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - boot_clock::now());
        const io_deadline deadline(m_stream.socket(), std::max(left, std::chrono::milliseconds{0}));
        space.data = m_body.data() + length;
        space.size = m_body.size() - length;
        space.more = true;
        auto [ec, n] = http::async_read_some(m_stream, m_buffer, incoming, use_fiber);
        length = m_body.size() - space.size;
        if (m_body_refused) {
            return boost::asio::error::no_memory;
        }
        if (ec && ec != http::error::need_buffer) {
            return deadline.expired() ? boost::beast::error::timeout : ec;
        }
    }
    m_reads_body = false;
    m_body.resize(length);
    m_body_account->complete();
    m_buffer.shrink_to_fit();
    return {};
}

/// Lets a body of this size be read in few calls, if there is memory for it.
void http_session::widen_buffer(std::size_t body_bytes)
{
    try {
        m_buffer.reserve(std::min(body_read_bytes, body_bytes));
    }
    catch (const std::length_error&) {
        return; // it is read in short parts
    }
}

/// Makes room for the next step of the body. False when there is no memory for it.
bool http_session::extend_body(const parser& incoming)
{
    const auto size = m_body.size();
    const auto announced = incoming.content_length();
    const auto end = static_cast<std::size_t>(announced.value_or(m_limits->max_body_bytes));
    const auto missing = end - std::min(end, size);
    const auto step = announced ? std::min(missing, body_step_bytes)
                                : std::clamp(size, first_body_step_bytes, body_step_bytes);
    const auto until = boot_clock::now() + memory_wait;
    const auto grow = [&] {
        return m_body_account->grow(step, missing - std::min(missing, step), boot_clock::now());
    };
    auto grant = grow();
    while (grant == memory_grant::awaited && !m_body_refused && boot_clock::now() < until) {
        boost::this_fiber::sleep_for(memory_poll);
        grant = grow();
    }
    m_body_refused = m_body_refused || grant != memory_grant::granted;
    if (m_body_refused) {
        return false;
    }
    if (announced && size == 0) {
        m_body.reserve(static_cast<std::size_t>(*announced));
    }
    m_body.resize(size + step);
    return true;
}

/// Ends a body whose sender has stalled, since others need its memory.
void http_session::cut_body()
{
    if (m_reads_body) {
        m_body_refused = true;
        boost::beast::error_code ignored; // the fiber that reads refuses the request
        m_stream.socket().cancel(ignored);
    }
}

void http_session::refuse_malformed(boost::beast::error_code ec)
{
    m_reads_body = false;
    std::string().swap(m_body);
    m_body_account.reset();
    if (ec == http::error::end_of_stream || ec == boost::asio::error::connection_reset ||
        ec == boost::asio::error::operation_aborted) {
        return;
    }
    m_keep_alive = false;
    const auto reason = read_error(ec, m_limits->provisional);
    note_unserved(code_of(reason.kind));
    (void)refuse(reason, request_id{});
}

void http_session::note_unserved(std::string_view reason)
{
    if (m_context->on_unserved) {
        m_context->on_unserved(reason);
    }
}

void http_session::answer(parser& incoming)
{
    auto message = incoming.release();
    m_version = message.version();
    m_keep_alive = message.keep_alive();
    m_stream.expires_never();
    const bool handled = run_contained("a request's handler failed", [&] {
        m_context->handler(to_request(message, std::move(m_body)), m_thread, *this);
    });
    m_body_account.reset();
    if (m_watch) {
        m_watch->stop();
        m_watch.reset();
        boost::beast::error_code ignored; // the answer may have closed the socket
        m_stream.socket().cancel(ignored);
    }
    if (!handled) {
        end_failed_answer();
    }
}

/// The request may have run; its answer can't be completed.
void http_session::end_failed_answer()
{
    m_keep_alive = false;
    if (m_started) {
        abort_stream();
        return;
    }
    (void)refuse({error_kind::outcome_unknown, // fails only if the caller has left
                  "the request's handler failed",
                  "read the status before you submit again",
                  run_outcome::unknown,
                  {}},
                 request_id{});
}

bool http_session::will_close() const
{
    return !m_keep_alive || m_context->closing || m_context->stopping || m_context->ending;
}

http::response<http::empty_body> http_session::make_head(const http_response_head& head)
{
    http::response<http::empty_body> message;
    message.version(m_version);
    message.result(head.status);
    for (const auto& header : head.headers) {
        message.insert(header.name, header.value);
    }
    message.keep_alive(m_keep_alive);
    if (m_keep_alive) {
        state_idle_time(message);
    }
    return message;
}

/// The connection is kept for this time after the answer, also if the limit falls meanwhile.
void http_session::state_idle_time(http::response<http::empty_body>& message)
{
    m_stated_idle_time = m_context->limits.load()->idle_timeout;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(m_stated_idle_time);
    if (seconds.count() > 0) {
        message.set(http::field::keep_alive, "timeout=" + std::to_string(seconds.count()));
    }
}

result<void> http_session::finish_write(boost::beast::error_code ec)
{
    if (!ec) {
        return boost::outcome_v2::success();
    }
    close();
    return write_error();
}

result<void> http_session::send(const http_response& response)
{
    if (response.head.ends_with_connection) {
        BOOST_OUTCOME_TRY(begin_stream(response.head));
        BOOST_OUTCOME_TRY(write_chunk(response.body));
        return end_stream();
    }
    m_keep_alive = !will_close();
    http::response<http::span_body<const char>> message(make_head(response.head).base());
    message.body() = {response.body.data(), response.body.size()};
    message.prepare_payload();
    m_started = true;
    m_ended = true;
    m_stream.expires_after(m_limits->write_timeout);
    auto [ec, n] = http::async_write(m_stream, message, use_fiber);
    return finish_write(ec);
}

result<void> http_session::refuse(const error& reason, const request_id& id)
{
    auto response = error_response(reason, id);
    if (!id.empty()) {
        response.head.headers.push_back({"X-Request-Id", id.str()});
    }
    return send(response);
}

result<void> http_session::begin_stream(const http_response_head& head)
{
    m_chunked = m_version >= http_1_1 && !head.ends_with_connection;
    if (!m_chunked) {
        // However the process ends, the system then resets a connection whose answer isn't complete.
        set_reset_on_close(true);
    }
    // Without chunks the end of the connection is the end of the stream.
    m_keep_alive = m_chunked && !will_close();
    auto message = make_head(head);
    if (m_chunked) {
        message.chunked(true);
    }
    http::response_serializer<http::empty_body> serializer{message};
    m_started = true;
    m_stream.expires_after(m_limits->write_timeout);
    auto [ec, n] = http::async_write_header(m_stream, serializer, use_fiber);
    return finish_write(ec);
}

result<void> http_session::write_chunk(std::string_view data)
{
    if (data.empty()) {
        return boost::outcome_v2::success(); // an empty chunk would end the stream
    }
    m_stream.expires_after(m_limits->write_timeout);
    const auto bytes = boost::asio::buffer(data);
    auto [ec, n] = m_chunked ? boost::asio::async_write(m_stream, http::make_chunk(bytes), use_fiber)
                             : boost::asio::async_write(m_stream, bytes, use_fiber);
    return finish_write(ec);
}

result<void> http_session::end_stream()
{
    m_ended = true;
    if (!m_chunked) {
        set_reset_on_close(false);
        return boost::outcome_v2::success();
    }
    m_stream.expires_after(m_limits->write_timeout);
    auto [ec, n] = boost::asio::async_write(m_stream, http::make_chunk_last(), use_fiber);
    return finish_write(ec);
}

void http_session::abort_stream()
{
    m_ended = false;
    close();
}

/// For an answer whose end is shown by an orderly close only.
void http_session::set_reset_on_close(bool reset)
{
    boost::beast::error_code ignored; // the caller may have closed the socket
    m_stream.socket().set_option(boost::asio::socket_base::linger(reset, 0), ignored);
}

void http_session::on_caller_gone(std::function<void()> notify)
{
    m_watch = std::make_shared<caller_watch>(m_stream.socket());
    m_watch->start(std::move(notify));
}

void http_session::close_if_idle()
{
    if (m_idle) {
        boost::beast::error_code ignored; // the waiting fiber closes the connection
        m_stream.socket().cancel(ignored);
    }
}

void http_session::close()
{
    boost::beast::error_code ignored;
    m_stream.socket().close(ignored);
}

} // namespace cardamomstream
