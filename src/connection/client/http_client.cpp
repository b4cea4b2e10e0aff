#include "cardamomstream/connection/http_client.h"

#include "client_connection.h"
#include "pooled_exchange.h"

#include <deque>
#include <unordered_map>
#include <utility>

#include <boost/fiber/operations.hpp>

namespace cardamomstream {

class http_client::pool : public std::enable_shared_from_this<http_client::pool> {
public:
    pool(boost::asio::io_context& io, http_client_settings settings)
        : m_io(io)
        , m_settings(settings)
        , m_read_memory(std::make_shared<memory_limit>(settings.max_buffered_bytes))
    {
    }

    result<std::shared_ptr<client_connection>> take(const http_call& call, cancellation& cancel)
    {
        if (!call.fresh_connection) {
            if (auto pooled = take_idle(call.address)) {
                return pooled;
            }
        }
        auto connection = std::make_shared<client_connection>(m_io, m_read_memory);
        cancel.set_action([connection] { connection->close(); });
        auto connected = connection->connect(call.address, call.limits.connect, m_settings.user_timeout);
        cancel.clear_action();
        if (!connected) {
            // Other errors are this machine's, such as a lack of descriptors.
            const auto reason = connection->connect_error();
            if (call.on_unconnected && !cancel.cancelled() &&
                (reason == boost::asio::error::connection_refused ||
                 reason == boost::asio::error::operation_aborted ||
                 reason == boost::asio::error::timed_out)) {
                call.on_unconnected();
            }
            return connected.error();
        }
        return connection;
    }

    reachability probe(const endpoint& address, std::chrono::milliseconds limit,
                       std::chrono::milliseconds settle_time)
    {
        auto connection = std::make_shared<client_connection>(m_io, m_read_memory);
        if (!connection->connect(address, limit, m_settings.user_timeout)) {
            return connection->connect_error() == boost::asio::error::connection_refused
                       ? reachability::refuses
                       : reachability::no_answer;
        }
        boost::this_fiber::sleep_for(settle_time);
        if (!connection->usable()) {
            return reachability::closes;
        }
        give_back(address, std::move(connection));
        return reachability::accepts;
    }

    void give_back(const endpoint& address, std::shared_ptr<client_connection> connection)
    {
        auto& idle = m_idle[address];
        if (idle.size() >= m_settings.max_idle_connections) {
            return;
        }
        connection->idle_since = boot_clock::now();
        connection->buffer().shrink_to_fit();
        idle.push_back(std::move(connection));
    }

    std::optional<bool> idle_open(const endpoint& address, time_point at)
    {
        std::optional<bool> open;
        const auto now = boot_clock::now();
        if (const auto found = m_idle.find(address); found != m_idle.end()) {
            for (const auto& connection : found->second) {
                if (connection->connected_at >= at || now - connection->idle_since >= m_settings.max_idle) {
                    continue;
                }
                open = open.value_or(false) || connection->usable();
            }
        }
        return open;
    }

    void close_idle(const endpoint& address) { m_idle.erase(address); }

private:
    std::shared_ptr<client_connection> take_idle(const endpoint& address)
    {
        const auto found = m_idle.find(address);
        if (found == m_idle.end()) {
            return nullptr;
        }
        const auto now = boot_clock::now();
        auto& idle = found->second;
        while (!idle.empty()) {
            auto connection = std::move(idle.back()); // the last one used is the least likely to be closed
            idle.pop_back();
            if (now - connection->idle_since < m_settings.max_idle && connection->usable()) {
                return connection;
            }
        }
        return nullptr;
    }

    boost::asio::io_context& m_io;
    http_client_settings m_settings;
    std::shared_ptr<memory_limit> m_read_memory;
    std::unordered_map<endpoint, std::deque<std::shared_ptr<client_connection>>> m_idle;
};

http_client::http_client(boost::asio::io_context& io, http_client_settings settings)
    : m_pool(std::make_shared<pool>(io, settings))
{
}

http_client::~http_client() = default;

result<std::optional<std::string>> read_body(http_exchange& exchange, std::size_t max_bytes)
{
    std::string body;
    while (true) {
        BOOST_OUTCOME_TRY(auto part, exchange.next());
        if (!part) {
            return std::optional(std::move(body));
        }
        if (body.size() + part->size() > max_bytes) {
            return std::optional<std::string>{};
        }
        body += *part;
    }
}

result<std::unique_ptr<http_exchange>> http_client::send(const http_call& call, cancellation& cancel)
{
    BOOST_OUTCOME_TRY(auto connection, m_pool->take(call, cancel));
    auto exchange = std::make_unique<pooled_exchange>(
        std::move(connection), cancel,
        [pool = m_pool, address = call.address](std::shared_ptr<client_connection> idle) {
            pool->give_back(address, std::move(idle));
        });
    BOOST_OUTCOME_TRY(exchange->begin(call));
    return std::unique_ptr<http_exchange>(std::move(exchange));
}

result<http_response> http_client::fetch(const http_call& call, cancellation& cancel,
                                         std::size_t max_body_bytes)
{
    BOOST_OUTCOME_TRY(auto exchange, send(call, cancel));
    BOOST_OUTCOME_TRY(auto body, read_body(*exchange, max_body_bytes));
    if (!body) {
        return error{error_kind::upstream_failed,
                     "the answer of " + call.address.str() + " is too large",
                     "ask for less in one request",
                     run_outcome::unknown,
                     {}};
    }
    return http_response{exchange->head(), std::move(*body)};
}

reachability http_client::probe(const endpoint& address, std::chrono::milliseconds limit,
                                std::chrono::milliseconds settle_time)
{
    return m_pool->probe(address, limit, settle_time);
}

std::optional<bool> http_client::idle_open(const endpoint& address, time_point at)
{
    return m_pool->idle_open(address, at);
}

void http_client::close_idle(const endpoint& address)
{
    m_pool->close_idle(address);
}

} // namespace cardamomstream
