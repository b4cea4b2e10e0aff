/// Passes answers on to the caller.
#pragma once

#include "answer_meter.h"
#include "caller_auth.h"
#include "request_context.h"

#include "cardamomstream/connection/http_client.h"

#include <concepts>
#include <optional>
#include <string>

namespace cardamomstream {

/// Largest answer that is read whole.
inline constexpr std::size_t max_whole_answer_bytes = 8 * 1024 * 1024;

/// A source of an answer: an upstream's exchange or another VM's forward stream.
template <class Source>
concept answer_source = requires(Source& source)
{
    {
        source.head()
        } -> std::convertible_to<const http_response_head&>;
    {
        source.next()
        } -> std::same_as<result<std::optional<std::string>>>;
};

/// Whether the answer is a stream of server-sent events.
bool is_event_stream(const http_response_head& head);

/// Ends a stream that cannot become whole: the caller reads the error as an event and then a connection that
/// closes without the last chunk.
void abort_stream(request_context& context, const error& reason);

/// Reads the rest of an answer. Errors: those of the source, upstream_failed when it is too large.
template <answer_source Source>
result<std::string> read_whole(Source& source)
{
    std::string body;
    while (true) {
        BOOST_OUTCOME_TRY(auto part, source.next());
        if (!part) {
            return body;
        }
        body += *part;
        if (body.size() > max_whole_answer_bytes) {
            return error{error_kind::upstream_failed,
                         "the answer of the upstream is too large",
                         "ask for less in one request",
                         run_outcome::unknown,
                         {}};
        }
    }
}

/// Passes a stream on part by part, at most `max_tokens` of it where that is set. The stream is whole once
/// its source has ended it.
template <answer_source Source>
result<void> pass_stream(request_context& context, Source& source, answer_meter& meter,
                         token_count max_tokens)
{
    BOOST_OUTCOME_TRY(context.writer.begin_stream(
        {source.head().status, caller_headers(source.head().headers, context.id)}));
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
        BOOST_OUTCOME_TRY(context.writer.write_chunk(*part));
    }
    return context.writer.end_stream();
}

} // namespace cardamomstream
