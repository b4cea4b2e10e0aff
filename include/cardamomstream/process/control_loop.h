/// The control thread's work: configuration, list, membership, allowance, stop.
#pragma once

#include "cardamomstream/connection/http_server.h"
#include "cardamomstream/connection/peer_server.h"
#include "cardamomstream/connection/traffic_thread.h"
#include "cardamomstream/request/request_service.h"
#include "cardamomstream/request/serving_parts.h"

#include <functional>
#include <memory>

namespace cardamomstream {

class control_loop {
public:
    control_loop(serving_parts parts, traffic_thread& thread, request_service& service);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    control_loop(control_loop&&) = delete;
    control_loop& operator=(control_loop&&) = delete;

    /// What other VMs may ask of this one.
    peer_handlers handlers();

    /// Starts the fibers of the control thread.
    void start();

    /// Begins the graceful shutdown; `stopped` runs on the control thread when the process may exit. Further
    /// calls do nothing.
    void stop(http_server& entry, std::function<void()> stopped);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace cardamomstream
