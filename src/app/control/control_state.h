/// What the control thread knows and works with. Touched on the control thread only, apart from the shared
/// parts.
#pragma once

#include "rules_parser.h"

#include "cardamomstream/connection/http_client.h"
#include "cardamomstream/connection/traffic_thread.h"
#include "cardamomstream/process/member_table.h"
#include "cardamomstream/process/reader_schedule.h"
#include "cardamomstream/process/version_store.h"
#include "cardamomstream/request/request_service.h"
#include "cardamomstream/request/serving_parts.h"

#include <chrono>
#include <map>
#include <random>
#include <string>

namespace cardamomstream {

struct control_state {
    control_state(serving_parts process_parts, traffic_thread& control_thread, request_service& requests);

    serving_parts parts;
    traffic_thread& thread;
    request_service& service;
    http_client client;
    version_store<rules_parser> versions;
    reader_schedule schedule;
    member_table members;
    vm_list_snapshot list;
    std::string list_text; ///< as published, for VMs that start while the platform is down
    std::map<region_name, std::chrono::milliseconds> round_trips; ///< from the last exchange with the region
    std::mt19937_64 random;
    bool confirmed = false; ///< the version in force has been confirmed since the start or the last pause
    bool stopped = false;   ///< fibers return at their next turn
};

} // namespace cardamomstream
