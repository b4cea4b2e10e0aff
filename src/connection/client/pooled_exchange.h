/// The exchange that `http_client` hands out.
#pragma once

#include "client_connection.h"

#include "cardamomstream/connection/http_client.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http.hpp>

namespace cardamomstream {

/// One request and its answer on one connection. At a complete end the connection goes back through
/// `give_back`.
class pooled_exchange final : public http_exchange {
public:
    using give_back_action = std::function<void(std::shared_ptr<client_connection>)>;

    pooled_exchange(std::shared_ptr<client_connection> connection, cancellation& cancel,
                    give_back_action give_back);
    ~pooled_exchange() override;
    pooled_exchange(const pooled_exchange&) = delete;
    pooled_exchange& operator=(const pooled_exchange&) = delete;
    pooled_exchange(pooled_exchange&&) = delete;
    pooled_exchange& operator=(pooled_exchange&&) = delete;

    /// Writes the request and reads the head of the answer.
    result<void> begin(const http_call& call);

    const http_response_head& head() const override { return m_head; }
    result<std::optional<std::string>> next() override;
    bool first_on_connection() const override { return m_first_on_connection; }
    time_point connected_at() const override { return m_connected_at; }
    result<void> skip_answer(std::size_t max_bytes) override;
    void limit_rest(std::chrono::milliseconds rest) override;

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// Runs an operation on the connection, within the limit on the server's silence.
    template <class Operation>
    result<void> run_within(std::chrono::milliseconds limit, Operation operation);
    result<void> write(const http_call& call);
    result<void> read_head(std::chrono::milliseconds limit);
    result<std::optional<std::string>> read_part();
    std::chrono::milliseconds spent() const;
    void take_head();
    error failure(boost::beast::error_code ec, bool timed_out) const;
    void finish();

    std::shared_ptr<client_connection> m_connection;
    cancellation& m_cancel;
    give_back_action m_give_back;
    std::optional<parser> m_parser; ///< of one head and what follows it
    http_response_head m_head;
    call_limits m_limits;
    std::function<std::chrono::milliseconds(std::chrono::milliseconds)> m_on_silence;
    time_point m_started;
    time_point m_connected_at;
    bool m_first_on_connection = false;
    bool m_reusable = true;
    std::array<char, 16 * 1024> m_data{};
};

} // namespace cardamomstream
