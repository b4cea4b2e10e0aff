/// Answers a forwarded request through its reply stream.
#pragma once

#include "cardamomstream/connection/peer_types.h"
#include "cardamomstream/connection/response_writer.h"

#include "reply_stream.h"

#include <memory>

namespace cardamomstream {

/// Belongs to the fiber that serves the request.
class peer_response_writer final : public response_writer {
public:
    explicit peer_response_writer(std::shared_ptr<reply_stream> stream);

    result<void> send(const http_response& response) override;
    result<void> refuse(const error& reason, const request_id& id) override;
    result<void> begin_stream(const http_response_head& head) override;
    result<void> write_chunk(std::string_view data) override;
    result<void> end_stream() override;
    void abort_stream() override;
    bool started() const override { return m_started; }
    void on_caller_gone(std::function<void()> notify) override;

    /// Ends the call after the handler has returned. An answer that is not whole is told from one that is.
    void close();

private:
    result<void> write(const forward_reply& reply);

    std::shared_ptr<reply_stream> m_stream;
    bool m_started = false;
    bool m_ended = false;
};

} // namespace cardamomstream
