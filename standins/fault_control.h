/// Faults that a stand-in upstream can be told to show.
#pragma once

#include "http_server.h"

#include <chrono>
#include <string_view>

namespace cardamomstream::standins {

enum class fault_kind {
    none,
    refuse,                   ///< resets the connection when a request arrives
    hang_before_head,         ///< never answers
    hang_after_head,          ///< sends the head, then nothing
    close_after_head,         ///< sends the head and a part of the body, then closes
    hang_without_length,      ///< sends a head without length and a part of the body, then nothing
    close_inside_event,       ///< sends an event of a stream and half of the next one, then closes
    end_inside_event,         ///< the same, with the last chunk
    slow_chunks,              ///< waits before each chunk
    split_chunks,             ///< cuts each event into small pieces
    error500,                 ///< answers with status 500
    close_after_request_body, ///< does the work, then closes without an answer
    delay,                    ///< waits before it does anything
};

/// The fault in force at one upstream, set by `POST /control/fault?kind=...`.
class fault_control {
public:
    fault_kind kind() const noexcept { return m_kind; }
    std::chrono::milliseconds delay() const noexcept { return m_delay; }

    /// Takes `kind=NAME`, with `ms=N` for slow_chunks and delay; `kind=delay_ms=N` is short for the latter.
    http_response set(const request_target& target);
    /// Shows the faults that come before any answer. False if the request has been dealt with.
    asio::awaitable<bool> before_answer(connection& client) const;
    /// Shows the faults that break an answer after its head. True if it did.
    asio::awaitable<bool> broken_answer(connection& client, const http_response& response) const;

private:
    fault_kind m_kind = fault_kind::none;
    std::chrono::milliseconds m_delay{0};
};

/// Waits until the client leaves.
asio::awaitable<void> hang(connection& client);

} // namespace cardamomstream::standins
