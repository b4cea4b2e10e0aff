/// Decides what the head of an upstream's answer permits to do with its body.
#pragma once

#include "cardamomstream/connection/http_types.h"

#include <cstdint>
#include <string_view>

namespace cardamomstream {

inline constexpr unsigned first_redirection = 300; ///< answers below it are successes

enum class answer_use : std::uint8_t {
    plain,  ///< one answer, complete or not at all
    stream, ///< events, passed on as they come
    none,   ///< nothing of it may reach the caller
};

/// The request whose answer it is.
struct answer_query {
    bool stream_route = false;
    bool continues = false; ///< the caller has events of the stream already
    bool begun = false;     ///< they came in this answer, so that no other head can follow
};

struct answer_decision {
    answer_use use = answer_use::none;
    std::string_view reason; ///< of `none`
};

answer_decision decide_answer_use(const http_response_head& head, const answer_query& query);

/// True when the head names the content type of server-sent events.
bool is_declared_event_stream(const http_response_head& head);

} // namespace cardamomstream
