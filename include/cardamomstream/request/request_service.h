/// Serves the requests of callers and those forwarded by other VMs.
#pragma once

#include "cardamomstream/connection/peer_types.h"
#include "cardamomstream/connection/response_writer.h"
#include "cardamomstream/connection/traffic_group.h"
#include "cardamomstream/request/serving_parts.h"

#include <cstddef>
#include <memory>

namespace cardamomstream {

class request_service {
public:
    request_service(serving_parts parts, traffic_group& threads);
    ~request_service();
    request_service(const request_service&) = delete;
    request_service& operator=(const request_service&) = delete;
    request_service(request_service&&) = delete;
    request_service& operator=(request_service&&) = delete;

    /// Serves one request of a caller, in a fiber of the given traffic thread.
    void serve(const http_request& request, std::size_t thread, response_writer& writer);

    /// Serves one request that the VM `sender` forwarded.
    void serve_forwarded(const vm_name& sender, const forward_request& request, std::size_t thread,
                         response_writer& writer);

    /// Cancels every request whose key is not in the current view. Called after each change of the view.
    void cancel_withdrawn_keys();

    /// Number of requests being served.
    std::size_t running() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace cardamomstream
