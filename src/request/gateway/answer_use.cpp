#include "cardamomstream/request/gateway/answer_use.h"

#include <boost/beast/core/string.hpp>

namespace cardamomstream {

namespace {

constexpr unsigned ok = 200;

std::string_view media_type(const http_response_head& head)
{
    auto type = header_value(head.headers, "Content-Type");
    type = type.substr(0, type.find(';'));
    return type.substr(0, type.find_last_not_of(" \t") + 1);
}

} // namespace

bool is_declared_event_stream(const http_response_head& head)
{
    return boost::beast::iequals(media_type(head), "text/event-stream");
}

answer_decision decide_answer_use(const http_response_head& head, const answer_query& query)
{
    if (head.status >= first_redirection) {
        return query.begun ? answer_decision{answer_use::none, "a failure"}
                           : answer_decision{answer_use::plain, {}};
    }
    if (!header_value(head.headers, "Content-Encoding").empty()) {
        return {answer_use::none, "an encoded body"};
    }
    if (!query.stream_route) {
        return {answer_use::plain, {}};
    }
    // Upstreams may leave the type out; then the body shows what it is.
    const bool events = media_type(head).empty() || is_declared_event_stream(head);
    if (!query.continues) {
        return {events ? answer_use::stream : answer_use::plain, {}};
    }
    if (head.status != ok) {
        return {answer_use::none, "a success without the rest of the stream"};
    }
    if (!events) {
        return {answer_use::none, "no event stream"};
    }
    return {answer_use::stream, {}};
}

} // namespace cardamomstream
