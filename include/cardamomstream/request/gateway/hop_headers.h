/// Headers of a request that a VM passes on to a VM of another region.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// The request was admitted and charged at the first VM; the second VM only places it. A request is passed on
/// at most once: a VM that receives these headers serves or refuses it.
struct hop_details {
    route_name route;
    pool_name service;
    customer_name customer; ///< empty on routes open to all
    int urgency = 0;
    std::chrono::milliseconds waited{0}; ///< since the caller's request arrived
    std::optional<std::string> version;  ///< of the upstream's software; set for a stream that has begun
};

void write_hop_headers(std::vector<http_header>& headers, const hop_details& hop);

/// Empty when the request was not passed on by another VM.
std::optional<hop_details> read_hop_headers(const std::vector<http_header>& headers);

/// Removes the headers before a request goes to an upstream, or if a caller forged them.
void remove_hop_headers(std::vector<http_header>& headers);

/// Marks a refusal for the VM that passed the request on: no other VM would run it before this time.
void mark_final_refusal(std::vector<http_header>& headers, std::chrono::milliseconds retry_after);

/// Empty when the refusal isn't final.
std::optional<std::chrono::milliseconds> final_refusal(const std::vector<http_header>& headers);

/// Tells the VM that passed a stream on at which software version it began; empty if that isn't certain.
void set_answer_version(std::vector<http_header>& headers, const std::optional<std::string>& version);
std::optional<std::string> answer_version(const std::vector<http_header>& headers);

/// Process of an upstream, as it was listed when a request was sent there.
struct upstream_process {
    upstream_name upstream;
    std::int64_t started_unix_ms = 0;
};

/// Tells the VM that passed a stream on to which process it was sent.
void set_answer_process(std::vector<http_header>& headers, const std::optional<upstream_process>& process);
std::optional<upstream_process> answer_process(const std::vector<http_header>& headers);

/// Tells the VM that passed a request on that the upstream's answer has neither a length nor chunks. The
/// answer to that VM has, so that it can tell the end of the answer from the end of the connection.
void set_answer_unframed(std::vector<http_header>& headers, bool unframed);
bool is_answer_unframed(const std::vector<http_header>& headers);

/// True for statuses with which a VM guarantees that the request has not run and will not run.
bool guarantees_not_run(unsigned status);

} // namespace cardamomstream
