#include "pooled_exchange.h"

#include "cardamomstream/connection/io_deadline.h"
#include "cardamomstream/connection/use_fiber.h"

#include <algorithm>
#include <utility>

namespace cardamomstream {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t max_response_header_bytes = 32 * 1024;
constexpr int max_informational_heads = 8; ///< before the head of the answer
constexpr unsigned first_status = 100;     ///< what is below is no status of HTTP
constexpr unsigned first_final_status = 200;

using request_body = http::span_body<const char>;

http::request<request_body> make_request(const http_call& call)
{
    http::request<request_body> request{http::string_to_verb(call.method), call.target, 11};
    if (request.method() == http::verb::unknown) {
        request.method_string(call.method);
    }
    for (const auto& header : call.headers) {
        request.insert(header.name, header.value);
    }
    if (request.find(http::field::host) == request.end()) {
        request.set(http::field::host, call.address.str());
    }
    const std::string_view body = call.body.empty() ? call.borrowed_body : call.body;
    request.body() = {body.data(), body.size()};
    request.prepare_payload();
    return request;
}

} // namespace

pooled_exchange::pooled_exchange(std::shared_ptr<client_connection> connection, cancellation& cancel,
                                 give_back_action give_back)
    : m_connection(std::move(connection))
    , m_cancel(cancel)
    , m_give_back(std::move(give_back))
    , m_connected_at(m_connection->connected_at)
{
}

pooled_exchange::~pooled_exchange()
{
    m_cancel.clear_action();
    if (m_connection) {
        m_connection->close();
    }
}

result<void> pooled_exchange::begin(const http_call& call)
{
    m_limits = call.limits;
    m_on_silence = call.on_silence;
    m_started = boot_clock::now();
    m_first_on_connection = !std::exchange(m_connection->has_carried_request, true);
    m_cancel.set_action([connection = m_connection] { connection->close(); });
    BOOST_OUTCOME_TRY(write(call));
    return read_head(call.limits.first_byte);
}

template <class Operation>
result<void> pooled_exchange::run_within(std::chrono::milliseconds limit, Operation operation)
{
    const auto began = boot_clock::now();
    while (true) {
        io_deadline deadline(m_connection->socket(), limit);
        auto [ec, n] = operation();
        if (!ec || ec == http::error::need_buffer) {
            return boost::outcome_v2::success();
        }
        const auto left = m_limits.total - spent();
        if (!deadline.expired() || m_cancel.cancelled() || !m_on_silence ||
            left <= std::chrono::milliseconds::zero()) {
            return failure(ec, deadline.expired());
        }
        // The operation goes on where the deadline has interrupted it.
        const auto silent = std::chrono::floor<std::chrono::milliseconds>(boot_clock::now() - began);
        limit = std::min(m_on_silence(silent), left);
        if (limit <= std::chrono::milliseconds::zero()) {
            return failure(ec, true);
        }
    }
}

result<void> pooled_exchange::write(const http_call& call)
{
    if (call.method == "TRACE" && !(call.body.empty() && call.borrowed_body.empty())) {
        return error{error_kind::invalid_request, "HTTP forbids a body of TRACE", "send none",
                     run_outcome::not_run, std::nullopt};
    }
    auto request = make_request(call);
    if (m_cancel.cancelled()) {
        return error{error_kind::cancelled, "the caller has left", "", run_outcome::not_run, {}};
    }
    if (call.before_write) {
        BOOST_OUTCOME_TRY(call.before_write());
    }
    // Pooled connections were checked when they were taken.
    if (m_first_on_connection && !m_connection->usable()) {
        return error{error_kind::upstream_unavailable,
                     "the server closed the connection, or sent bytes, before the request",
                     "try again; the request has not run",
                     run_outcome::not_run,
                     {}};
    }
    http::request_serializer<request_body> serializer{request};
    return run_within(call.limits.first_byte,
                      [&] { return http::async_write(m_connection->socket(), serializer, use_fiber); });
}

result<void> pooled_exchange::read_head(std::chrono::milliseconds limit)
{
    const auto until = boot_clock::now() + limit;
    // Informational heads may come before that of the answer.
    for (int heads = 0; heads <= max_informational_heads; ++heads) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - boot_clock::now());
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->header_limit(max_response_header_bytes);
        BOOST_OUTCOME_TRY(run_within(std::max(left, std::chrono::milliseconds{0}), [&] {
            return http::async_read_header(m_connection->socket(), m_connection->buffer(), *m_parser,
                                           use_fiber);
        }));
        const auto status = m_parser->get().result_int();
        if (status >= first_final_status) {
            take_head();
            return boost::outcome_v2::success();
        }
        if (status < first_status) {
            break;
        }
    }
    return failure(http::error::bad_status, false);
}

void pooled_exchange::take_head()
{
    const auto& message = m_parser->get();
    m_head = {message.result_int(), {}, m_parser->need_eof()};
    for (const auto& field : message) {
        m_head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
}

result<std::optional<std::string>> pooled_exchange::next()
{
    BOOST_OUTCOME_TRY(auto part, read_part());
    if (!part) {
        finish();
    }
    return part;
}

result<std::optional<std::string>> pooled_exchange::read_part()
{
    while (!m_parser->is_done()) {
        const auto left = std::min(m_limits.chunk_gap, m_limits.total - spent());
        if (left <= std::chrono::milliseconds::zero()) {
            return failure({}, true);
        }
        auto& body = m_parser->get().body();
        body.data = m_data.data();
        body.size = m_data.size();
        body.more = true;
        BOOST_OUTCOME_TRY(run_within(left, [&] {
            return http::async_read_some(m_connection->socket(), m_connection->buffer(), *m_parser,
                                         use_fiber);
        }));
        const auto length = m_data.size() - body.size;
        if (length > 0) {
            return std::optional<std::string>(std::string(m_data.data(), length));
        }
    }
    return std::optional<std::string>{};
}

result<void> pooled_exchange::skip_answer(std::size_t max_bytes)
{
    m_reusable = false;
    m_first_on_connection = false;
    std::size_t bytes = 0;
    while (true) {
        BOOST_OUTCOME_TRY(const auto part, read_part());
        if (!part) {
            break;
        }
        bytes += part->size();
        if (bytes > max_bytes) {
            return failure(http::error::body_limit, false);
        }
    }
    const auto left = std::min(m_limits.first_byte, m_limits.total - spent());
    if (left <= std::chrono::milliseconds::zero()) {
        return failure({}, true);
    }
    return read_head(left);
}

void pooled_exchange::limit_rest(std::chrono::milliseconds rest)
{
    m_limits.total = std::min(m_limits.total, spent() + rest);
}

std::chrono::milliseconds pooled_exchange::spent() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(boot_clock::now() - m_started);
}

error pooled_exchange::failure(boost::beast::error_code ec, bool timed_out) const
{
    if (m_cancel.cancelled()) {
        return {error_kind::cancelled, "the caller has left", "", run_outcome::unknown, {}};
    }
    if (timed_out) {
        return {error_kind::upstream_timeout,
                "the upstream gave no answer in time",
                "read the status before you submit again",
                run_outcome::unknown,
                {}};
    }
    return {error_kind::upstream_failed,
            "the connection to the upstream broke: " + ec.message(),
            "read the status before you submit again",
            run_outcome::unknown,
            {}};
}

void pooled_exchange::finish()
{
    m_cancel.clear_action();
    if (!m_connection) {
        return;
    }
    auto connection = std::exchange(m_connection, nullptr);
    if (m_reusable && m_parser->get().keep_alive() && connection->buffer().size() == 0) {
        m_give_back(std::move(connection));
        return;
    }
    connection->close();
}

} // namespace cardamomstream
