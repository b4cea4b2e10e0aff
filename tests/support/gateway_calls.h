/// Calls to the gateway's callers' face that several tests and the demo make.
#pragma once

#include "http_caller.h"

#include <string>

namespace cardamomstream::test_support {

/// A ticket for `route` from the answer of GET /v1/entry; empty if it holds none.
std::string ticket_in_entry(const answer& entry, const std::string& route);

/// A ticket for the route `submit` from one VM; empty if there is none.
std::string take_ticket(const endpoint& vm, const std::string& key);

/// A submission, with a ticket unless that is empty.
call submission(const std::string& key, const std::string& body, const std::string& ticket);

/// Asks again and again, for at most `limit`, until the call is answered with `status`.
bool wait_for_status(const endpoint& vm, const call& request, unsigned status,
                     std::chrono::milliseconds limit);

/// Whether all the events of a stream are those of one whole answer about `word`, in order.
bool is_whole_stream(const std::vector<std::string>& events, const std::string& word, int tokens);

} // namespace cardamomstream::test_support
