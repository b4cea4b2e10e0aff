/// Stand-in of a plain application service with actions that may not be repeated.
#pragma once

#include "fault_control.h"
#include "http_server.h"
#include "request_log.h"

#include <string>

namespace cardamomstream::standins {

/// Serves the filing and parlour routes, one open route and the controls.
class service {
public:
    explicit service(std::string name);

    asio::awaitable<void> handle(connection& client, const http_request& request);

private:
    asio::awaitable<void> run_action(connection& client, const http_request& request);
    asio::awaitable<void> read_page(connection& client, const http_request& request,
                                    const request_target& target);

    http_response receipt(std::uint64_t number) const;
    http_response page(const http_request& request, const request_target& target) const;

    std::string m_name;
    fault_control m_fault;
    request_log m_log;
};

} // namespace cardamomstream::standins
