/// Relays responses to the caller.
#pragma once

#include "answer_meter.h"
#include "caller_auth.h"
#include "request_context.h"

#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/request/gateway/answer_use.h"

#include <concepts>
#include <optional>
#include <string>
#include <utility>

namespace cardamomstream {

/// Largest response that is buffered whole.
inline constexpr std::size_t max_buffered_response_bytes = 8 * 1024 * 1024;

/// Source of a response: the exchange with an upstream or the forward stream of another VM.
template <class Source>
concept response_source = requires(Source& source)
{
    {
        source.head()
        } -> std::convertible_to<const http_response_head&>;
    {
        source.next()
        } -> std::same_as<result<std::optional<std::string>>>;
};

/// Error for a stream whose body ended inside an event: it was broken off, whatever frames it.
error incomplete_event_stream();

/// Aborts a stream that cannot be completed: the caller receives the error as an event, unless the stream
/// broke off inside an event, then the connection is closed without the final chunk.
void abort_stream(request_context& context, const error& reason);

/// Reads the rest of the body. Errors: those of the source, upstream_failed if the body is too large or is a
/// stream that ends inside an event.
template <response_source Source>
result<std::string> read_body(Source& source)
{
    std::string body;
    while (true) {
        BOOST_OUTCOME_TRY(auto part, source.next());
        if (!part) {
            const auto& head = source.head();
            if (head.status < first_redirection && is_declared_event_stream(head) &&
                ends_inside_event(body)) {
                return incomplete_event_stream();
            }
            return body;
        }
        body += *part;
        if (body.size() > max_buffered_response_bytes) {
            return error{error_kind::upstream_failed,
                         "the answer of the upstream is too large",
                         "ask for less in one request",
                         run_outcome::unknown,
                         {}};
        }
    }
}

/// Relays a stream part by part until the source ends it. Errors: those of the source and the writer,
/// upstream_failed if `max_tokens` is not 0 and the stream exceeds it or if it ends inside an event,
/// upstream_timeout after the deadline,
/// stale_version, cancelled if the key was withdrawn.
template <response_source Source>
result<void> relay_stream(request_context& context, Source& source, answer_meter& meter,
                          token_count max_tokens)
{
    BOOST_OUTCOME_TRY(context.writer.begin_stream(caller_head(source.head(), context.id)));
    while (true) {
        BOOST_OUTCOME_TRY(auto part, source.next());
        if (!part) {
            break;
        }
        meter.feed_stream(*part);
        if (max_tokens > 0 && meter.answer_tokens() > max_tokens) {
            return error{error_kind::upstream_failed,
                         "the upstream sent more than max_tokens",
                         "report the upstream to its operators",
                         run_outcome::unknown,
                         {}};
        }
        BOOST_OUTCOME_TRY(context.await_confirmation());
        if (boot_clock::now() >= context.deadline) {
            return error{error_kind::upstream_timeout,
                         "the answer took longer than the request allows",
                         "ask for less, or allow more time",
                         run_outcome::unknown,
                         {}};
        }
        if (context.key_withdrawn) {
            return error{error_kind::cancelled, "the key was withdrawn", "", run_outcome::unknown, {}};
        }
        BOOST_OUTCOME_TRY(context.writer.write_chunk(context.relayed.pass_over(std::move(*part))));
    }
    if (!context.relayed.at_event_end()) {
        return incomplete_event_stream();
    }
    return context.writer.end_stream();
}

} // namespace cardamomstream
