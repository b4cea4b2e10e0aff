/// The process-wide objects on which the serving of requests depends.
#pragma once

#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/connection/peer_client.h"
#include "cardamomstream/core/synchronized.h"
#include "cardamomstream/process/allowance_book.h"
#include "cardamomstream/process/control_pulse.h"
#include "cardamomstream/process/event_recorder.h"
#include "cardamomstream/process/fleet_view.h"
#include "cardamomstream/process/metrics.h"
#include "cardamomstream/process/settings_types.h"
#include "cardamomstream/request/admission_retry_budget.h"
#include "cardamomstream/request/dispatcher.h"
#include "cardamomstream/request/ticket_book.h"

#include <atomic>
#include <memory>
#include <vector>

namespace cardamomstream {

/// Every object is thread-safe except the clients; each traffic thread has its own client.
struct serving_parts {
    const settings& config;
    incarnation process;
    view_holder& views;
    synchronized<allowance_book>& allowance;
    synchronized<ticket_book>& tickets;
    synchronized<retry_budget>& retries;
    dispatcher& dispatch;
    event_recorder& events;
    metrics& counters;
    peer_client& peers;
    std::vector<std::unique_ptr<http_client>>& clients; ///< indexed by traffic thread
    control_pulse& pulse;
    std::atomic<bool>& stopping;
};

} // namespace cardamomstream
