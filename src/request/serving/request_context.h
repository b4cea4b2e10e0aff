/// State of one request while it is served.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/connection/peer_types.h"
#include "cardamomstream/connection/response_writer.h"
#include "cardamomstream/request/gateway/event_splitter.h"
#include "cardamomstream/request/serving_parts.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// Owned by the fiber that serves the request; all other references are used on the same thread only.
struct request_context {
    request_context(serving_parts& process_parts, response_writer& answer, std::size_t traffic_thread)
        : parts(process_parts)
        , writer(answer)
        , thread(traffic_thread)
        , view(process_parts.views.load())
        , received(boot_clock::now())
    {
    }

    serving_parts& parts;
    response_writer& writer;
    std::size_t thread;
    request_id id;
    fleet_view_snapshot view; ///< taken on arrival, again once the rules are confirmed
    customer_name customer;   ///< empty on open routes
    std::optional<key_digest> key;
    time_point received;
    time_point deadline;
    cancellation cancel;
    event_splitter relayed; ///< notes whether the part of a stream that was relayed ends with an event
    bool key_withdrawn = false;
    /// Set if this VM holds no part of the customer's allowance, so that the serving VM charges the request.
    bool charge_elsewhere = false;
    request_origin origin = request_origin::caller;
    std::uint32_t hop_count = 0;
    std::vector<region_name> regions_passed;

    http_client& client() { return *parts.clients[thread]; }

    /// Waits until the control thread has confirmed the rules in force, which become stale when the process
    /// is suspended. Errors: stale_version if that takes too long.
    result<void> await_confirmation();

    /// Regions that the residency rule of the customer permits; empty: all.
    std::set<region_name> permitted_regions() const;

    /// Records an event of this request.
    event_ref record(event_kind kind, std::vector<event_field> fields = {},
                     std::optional<event_ref> cause = std::nullopt);

    /// Time until the deadline; 0 once it has passed.
    std::chrono::milliseconds time_left(time_point now) const;
};

/// Generates a random request ID.
request_id new_request_id();

/// The timeout requested in `X-Timeout-Ms`, at most `max_timeout`; `max_timeout` if the header is absent or
/// invalid.
std::chrono::milliseconds requested_timeout(const std::vector<http_header>& headers,
                                            std::chrono::milliseconds max_timeout);

} // namespace cardamomstream
