/// The way in which a request handler answers its caller.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <functional>
#include <string_view>

namespace cardamomstream {

/// Writes one answer: either `send`, or `refuse`, or `begin_stream`, any number of `write_chunk`, then
/// `end_stream` or `abort_stream`. Every call suspends the fiber until the bytes are with the kernel. Errors:
/// error_kind::request_timeout when the caller reads too slowly or has left. A head with
/// `ends_with_connection` gives the answer neither a length nor chunks; the connection is closed after it.
class response_writer {
public:
    response_writer() = default;
    virtual ~response_writer() = default;
    response_writer(const response_writer&) = delete;
    response_writer& operator=(const response_writer&) = delete;
    response_writer(response_writer&&) = delete;
    response_writer& operator=(response_writer&&) = delete;

    virtual result<void> send(const http_response& response) = 0;

    /// Answers with a typed error: as JSON to a caller, as it is to another VM.
    virtual result<void> refuse(const error& reason, const request_id& id) = 0;

    virtual result<void> begin_stream(const http_response_head& head) = 0;
    virtual result<void> write_chunk(std::string_view data) = 0;
    virtual result<void> end_stream() = 0;

    /// Closes the connection without the last chunk, or resets it if there are no chunks, so that the caller
    /// can tell that the answer is incomplete.
    virtual void abort_stream() = 0;

    /// True once the first byte of an answer has been handed to the kernel.
    virtual bool started() const = 0;

    /// Called once, on this thread, when the caller closes its connection before the answer has ended.
    virtual void on_caller_gone(std::function<void()> notify) = 0;
};

} // namespace cardamomstream
