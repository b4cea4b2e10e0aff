/// Types shared by the request path and the wire formats of callers and upstreams.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/request/placing/placing_types.h"
#include "cardamomstream/request/placing/upstream_statements.h"
#include "cardamomstream/request/placing/upstream_work.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomstream {

/// Information from the headers of a caller's request.
struct caller_request {
    request_id id;
    std::string host;
    std::string key;
    std::optional<std::chrono::milliseconds> time_left;
    bool has_token_counts = false; ///< the caller states the two counts that follow
    token_count prompt_tokens = 0;
    token_count max_answer_tokens = 0;
    token_count expected_answer_tokens = 0; ///< the caller's estimate, or the maximum without one
    std::vector<prompt_part> parts;
    /// Attempt that brought the first event of the stream that this request takes up; empty for a new stream.
    request_id resumes;
    std::string last_event; ///< id of the last event that the caller has; empty for a new stream
};

/// Information that the gateway adds to a request for an upstream.
struct upstream_call {
    std::chrono::milliseconds time_left{0};
    upstream_name expected_upstream; ///< another upstream at the same address refuses the request
    customer_name customer;          ///< empty on routes open to all
    int urgency = 0;
    std::optional<std::string> resume_after; ///< id of the last event that the caller has received
};

/// Regions in which a request may run, separated by spaces, for the log: empty if it may run in all of them,
/// "none" if its homes leave none.
std::string describe_homes(const std::set<region_name>& regions, const std::set<region_name>& permitted);

/// Status with which another upstream at the same address rejects a request.
inline constexpr unsigned other_upstream = 421;

/// Origin of an answer, as stated in its head.
struct answer_origin {
    bool from_upstream = false; ///< false for a refusal by another VM, or if the sender is no upstream
    bool not_run = false;       ///< the upstream states that it did not run the request
    request_id id;              ///< of the answered request; empty when the answer has none
};

/// Wire format of the requests of callers and of the calls to upstreams.
template <class Wire>
concept gateway_wire = requires(const http_request& request, const upstream_call& call,
                                const http_response_head& head, const error& reason, const request_id& id)
{
    {
        Wire::read_request(request)
        } -> std::same_as<caller_request>;
    {
        Wire::upstream_headers(request, call)
        } -> std::same_as<std::vector<http_header>>;
    {
        Wire::vm_headers(request, call)
        } -> std::same_as<std::vector<http_header>>;
    {
        Wire::origin_of(head)
        } -> std::same_as<answer_origin>;
    {
        Wire::pause_of(head)
        } -> std::same_as<std::optional<std::chrono::milliseconds>>;
    {
        Wire::says_leaving(head)
        } -> std::same_as<bool>;
    {
        Wire::limit_of(head)
        } -> std::same_as<limit_statement>;
    {
        Wire::load_of(head)
        } -> std::same_as<load_statement>;
    {
        Wire::refusal(reason, id)
        } -> std::same_as<http_response>;
};

/// Headers to be forwarded: all but those that apply to a single connection, such as `Keep-Alive`.
std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers);

/// Sets a header, replacing all of the same name.
void set_header(std::vector<http_header>& headers, std::string_view name, std::string value);
void remove_header(std::vector<http_header>& headers, std::string_view name);

} // namespace cardamomstream
