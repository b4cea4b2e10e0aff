/// What a VM says of a request that it passes on to a VM of another region.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <optional>
#include <vector>

namespace cardamomstream {

/// The request was admitted and charged where it came in; the other VM only places it. A request is passed on
/// once at most: whoever gets these details serves or refuses it.
struct hop_details {
    route_name route;
    pool_name service;
    customer_name customer; ///< empty on routes open to all
    int urgency = 0;
    std::chrono::milliseconds waited{0}; ///< since the caller's request came in
};

void write_hop_headers(std::vector<http_header>& headers, const hop_details& hop);

/// Empty when the request was not passed on by a VM.
std::optional<hop_details> read_hop_headers(const std::vector<http_header>& headers);

/// Takes the details away, before the request goes to an upstream or when a caller forged them.
void remove_hop_headers(std::vector<http_header>& headers);

/// True for statuses by which a VM promises that the request has not run and will not.
bool promises_not_run(unsigned status);

} // namespace cardamomstream
