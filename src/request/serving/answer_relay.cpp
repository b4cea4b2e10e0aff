#include "answer_relay.h"

#include "cardamomstream/connection/error_response.h"

namespace cardamomstream {

error incomplete_event_stream()
{
    return {error_kind::upstream_failed,
            "the stream of the upstream ended inside an event",
            "read the status before you submit again",
            run_outcome::unknown,
            {}};
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
