/// Stand-in of the platform: configuration service, lagging VM list and client directory.
#pragma once

#include "http_server.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cardamomstream::standins {

/// How the service behaves towards the gateway.
enum class platform_mode {
    up,
    down,  ///< closes each connection without an answer
    stale, ///< serves the values as they were when this mode began
    slow,  ///< answers late
};

/// Read-and-watch service of versioned values, with test controls under `/control/`.
class platform {
public:
    explicit platform(asio::io_context& context);

    /// Sets a value; without a version, the last one plus one.
    void put(const std::string& key, std::string body, std::uint64_t version = 0);
    asio::awaitable<void> handle(connection& client, const http_request& request);

private:
    struct versioned_value {
        std::uint64_t version = 0;
        std::string body;
    };
    using value_map = std::map<std::string, versioned_value, std::less<>>;

    const value_map& served() const;
    http_response read(std::string_view key, std::uint64_t after) const;
    http_response control(const request_target& target, const http_request& request);
    http_response put_value(const request_target& target, const http_request& request);
    http_response set_mode(const request_target& target);
    http_response directory() const;
    asio::awaitable<void> watch(connection& client, std::string key, std::uint64_t after,
                                std::chrono::milliseconds wait);

    value_map m_values;
    value_map m_frozen;
    platform_mode m_mode = platform_mode::up;
    std::chrono::milliseconds m_slow_delay{5'000};
    std::uint64_t m_reads = 0;
    std::uint64_t m_waiting = 0;
    asio::steady_timer m_changed; ///< cancelled on each change; never expires
};

} // namespace cardamomstream::standins
