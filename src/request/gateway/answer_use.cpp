#include "cardamomstream/request/gateway/answer_use.h"

#include <boost/beast/core/string.hpp>

namespace cardamomstream {

namespace {

constexpr unsigned first_redirection = 300;

std::string_view media_type(const http_response_head& head)
{
    auto type = header_value(head.headers, "Content-Type");
    type = type.substr(0, type.find(';'));
    return type.substr(0, type.find_last_not_of(" \t") + 1);
}

} // namespace

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
    // Upstreams may leave the type out.
    const auto type = media_type(head);
    const bool events = type.empty() || boost::beast::iequals(type, "text/event-stream");
    return {events || query.begun ? answer_use::stream : answer_use::plain, {}};
}

} // namespace cardamomstream
