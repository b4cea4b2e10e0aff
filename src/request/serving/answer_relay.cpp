#include "answer_relay.h"

#include "cardamomstream/connection/error_response.h"

namespace cardamomstream {

bool is_event_stream(const http_response_head& head)
{
    return header_value(head.headers, "Content-Type").starts_with("text/event-stream");
}

void abort_stream(request_context& context, const error& reason)
{
    // Behind a part of an event, the error would become the rest of it.
    if (context.relayed.at_event_end()) {
        (void)context.writer.write_chunk("event: error\ndata: " + error_body(reason, context.id) + "\n\n");
    }
    context.writer.abort_stream();
}

} // namespace cardamomstream
