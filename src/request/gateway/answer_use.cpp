#include "cardamomstream/request/gateway/answer_use.h"

namespace cardamomstream {

namespace {

constexpr unsigned first_redirection = 300;

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
    return {query.stream_route ? answer_use::stream : answer_use::plain, {}};
}

} // namespace cardamomstream
