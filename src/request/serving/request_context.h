/// One request while it is served.
#pragma once

#include "cardamomstream/connection/cancellation.h"
#include "cardamomstream/connection/peer_types.h"
#include "cardamomstream/connection/response_writer.h"
#include "cardamomstream/request/serving_parts.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// Lives in the fiber that serves the request; every other holder is on the same thread.
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
    fleet_view_snapshot view; ///< as it was when the request came
    customer_name customer;   ///< empty on open routes
    std::optional<key_digest> key;
    time_point received;
    time_point deadline;
    cancellation cancel;
    bool key_withdrawn = false;
    bool charge_elsewhere = false; ///< this VM holds no part of the customer's allowance
    request_origin origin = request_origin::caller;
    std::uint32_t hop_count = 0;
    std::vector<region_name> regions_passed;

    http_client& client() { return *parts.clients[thread]; }

    /// Waits until the control thread has confirmed the rules in force after a pause of the process.
    /// Errors: stale_version when that takes too long.
    result<void> await_confirmation();

    /// Residency of the customer; empty: every region.
    std::set<region_name> permitted_regions() const;

    event_ref record(event_kind kind, std::vector<event_field> fields = {},
                     std::optional<event_ref> cause = std::nullopt);

    std::chrono::milliseconds time_left(time_point now) const;
};

/// A new identity for a request.
request_id new_request_id();

/// The deadline that a caller states in `X-Timeout-Ms`, at most `longest`.
std::chrono::milliseconds stated_timeout(const std::vector<http_header>& headers,
                                         std::chrono::milliseconds longest);

} // namespace cardamomstream
