/// Stand-in of a model engine: continuous batching in simple form, prefix cache, lagging load report.
#pragma once

#include "fault_control.h"
#include "http_server.h"
#include "prefix_cache.h"
#include "request_log.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace cardamomstream::standins {

/// Speed and size of one engine.
struct engine_settings {
    std::string name;
    double tokens_per_second = 50;           ///< for each request, when it runs alone
    double prefill_tokens_per_second = 5000; ///< over all requests
    std::uint32_t slots = 8;                 ///< requests in one batch
    std::uint64_t seed = 0;                  ///< 0: answers are exactly max_tokens long
    bool refuse_old_fencing = false;
    std::chrono::milliseconds load_lag{500};
    std::size_t cache_blocks = 4096;
};

/// Serves /v1/chat/completions, /v1/load, /v1/orders, /healthz and the controls.
class engine {
public:
    explicit engine(engine_settings settings);

    asio::awaitable<void> handle(connection& client, const http_request& request);

private:
    struct completion_order {
        std::string prompt;
        std::string tag;
        std::string model;
        bool stream = false;
        std::uint32_t answer_tokens = 0;
    };
    struct load_report {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::chrono::steady_clock::time_point taken;
    };

    std::optional<completion_order> parse(const http_request& request);
    asio::awaitable<void> complete(connection& client, const http_request& request);
    asio::awaitable<bool> take_slot(connection& client);
    void return_slot();
    asio::awaitable<bool> prefill(connection& client, const completion_order& order);
    asio::awaitable<bool> run(connection& client, const completion_order& order);
    asio::awaitable<bool> stream_answer(connection& client, const completion_order& order);
    asio::awaitable<bool> whole_answer(connection& client, const completion_order& order);
    asio::awaitable<bool> send_event(connection& client, const std::string& event);
    boost::json::value chunk(const completion_order& order, std::uint32_t index) const;
    http_response completion(const completion_order& order, const std::string& content) const;
    boost::json::value usage(const completion_order& order) const;
    std::chrono::nanoseconds token_gap() const;
    boost::json::value load();
    http_response take_order(const http_request& request);

    engine_settings m_settings;
    fault_control m_fault;
    request_log m_log;
    prefix_cache m_cache;
    std::mt19937_64 m_random;
    load_report m_report;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::uint64_t m_highest_fencing = 0;
    std::uint64_t m_answers = 0;
    std::chrono::steady_clock::time_point m_prefill_free;
};

} // namespace cardamomstream::standins
