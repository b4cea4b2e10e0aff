/// Plain values of HTTP exchanges, on the callers' side and on the upstreams'.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstream {

struct http_header {
    std::string name;
    std::string value;
};

/// First value of a header, compared without case; empty when it is missing.
std::string_view header_value(const std::vector<http_header>& headers, std::string_view name);

/// A whole request as read from a caller.
struct http_request {
    std::string method;
    std::string target; ///< path and query as sent
    std::vector<http_header> headers;
    std::string body;

    std::string_view path() const;
    std::string_view query() const;
    /// Value of a parameter of the query, as sent; empty when it is missing.
    std::string_view query_parameter(std::string_view name) const;
};

/// Status line and headers of an answer.
struct http_response_head {
    unsigned status = 200;
    std::vector<http_header> headers;
    /// The body has neither a length nor chunks: only the end of its connection ends it, so that a body that
    /// was broken off may look like a complete one.
    bool ends_with_connection = false;
};

/// A whole answer.
struct http_response {
    http_response_head head;
    std::string body;
};

/// Larger heads are refused, whatever the limits: Beast throws on a field of 64 KiB.
inline constexpr std::uint32_t longest_header_bytes = 64'000;

/// What a listener accepts from its callers.
struct http_limits {
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 1024 * 1024;
    std::chrono::milliseconds header_timeout{10'000};
    std::chrono::milliseconds body_timeout{30'000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds write_timeout{30'000}; ///< for one write to a slow caller
    std::size_t max_connections = 4096;
    /// Of all connections together, for heads, chunk headers and trailers that are not complete yet.
    std::size_t max_buffered_bytes = std::size_t{16} * 1024 * 1024;
    /// Of all connections together, for the bodies of requests, unless listeners share it. Of a listener's
    /// own, a single body of `max_body_bytes` has room in any case.
    std::size_t max_body_memory = std::size_t{64} * 1024 * 1024;
    /// The sizes may be larger in fact: a request over one of them is asked to come back.
    bool provisional = false;

    friend bool operator==(const http_limits&, const http_limits&) = default;
};

} // namespace cardamomstream
