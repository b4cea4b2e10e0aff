/// Plain values between the request path and the wire formats of callers and upstreams.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/request/placing/placing_types.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// What a caller says of its request, beside method, path and body.
struct caller_request {
    request_id id;
    std::string host;
    std::string key;
    std::optional<std::chrono::milliseconds> time_left;
    bool has_token_counts = false;
    token_count prompt_tokens = 0;
    token_count max_answer_tokens = 0;
    token_count expected_answer_tokens = 0; ///< the caller's estimate; the maximum where it gives none
    std::vector<prompt_part> parts;
};

/// What the system adds to a request that it sends to an upstream.
struct upstream_call {
    std::chrono::milliseconds time_left{0};
    upstream_name expected_upstream; ///< any other upstream at that address refuses the request
    customer_name customer;          ///< empty on routes open to all
    int urgency = 0;
    std::optional<std::string> resume_after; ///< last event that the caller has
};

/// What the head of an answer says of where it comes from.
struct answer_origin {
    bool from_upstream = false; ///< else a refusal of another VM, or bytes of something that is no upstream
    bool not_run = false;       ///< the upstream says that it did not run the request
    request_id id;              ///< of the request that is answered; empty when the answer names none
};

/// The wire format towards callers and upstreams.
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
        Wire::origin_of(head)
        } -> std::same_as<answer_origin>;
    {
        Wire::refusal(reason, id)
        } -> std::same_as<http_response>;
};

/// Headers that go on from one connection to the next: all but those that concern one connection only.
std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers);

/// Sets a header in place of any of that name.
void set_header(std::vector<http_header>& headers, std::string_view name, std::string value);
void remove_header(std::vector<http_header>& headers, std::string_view name);

} // namespace cardamomstream
