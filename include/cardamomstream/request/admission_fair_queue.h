/// Queue of one pool: deficit round robin over customers, with deadlines. As in FQ-CoDel, a customer that had
/// nothing queued is served once before the round, so that its few requests do not wait for a whole round.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/request/admission_service_meter.h"
#include "cardamomstream/request/admission_types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomstream {

/// A request removed from the queue because it could not meet its deadline, with the error to return.
struct expired_request {
    queued_request request;
    error answer;
};

/// Holds requests only while they can still meet their deadline; others are refused at once with
/// `retry_after`. Not thread safe.
class fair_queue {
public:
    explicit fair_queue(fair_queue_settings settings);

    /// Sets the weight of the customer's share of the service (`customer_rule::queue_weight`). Default: 1.
    void set_weight(const customer_name& customer, double weight);

    /// Adds a request. Fails with `overloaded` (outcome `not_run`, with `retry_after`) if the queue is full
    /// or if the wait predicted from the queue and the observed service rate exceeds the deadline.
    result<void> push(queued_request request, time_point now);

    /// Removes the next request by deficit round robin; empty if none waits. Call only if a slot is free.
    std::optional<queued_request> pop(time_point now);

    /// Undoes the last `pop`, whose request could not be sent: the request keeps its position.
    void put_back(queued_request request);

    /// Removes and returns the requests that can no longer meet their deadline. Call often, so that their
    /// callers get the error early.
    std::vector<expired_request> take_expired(time_point now);

    /// Removes a request whose caller disconnected. Returns false if the request is not in the queue.
    bool remove(const request_id& id);

    /// Predicted wait of a new request of this customer; 0 while the service rate is unknown.
    std::chrono::milliseconds predicted_wait(const customer_name& customer, time_point now) const;

    /// Observed service rate, in tokens per second of busy time; empty while unknown.
    std::optional<double> service_rate(time_point now) const;

    std::size_t size() const noexcept { return m_size; }
    bool empty() const noexcept { return m_size == 0; }

private:
    struct customer_queue {
        explicit customer_queue(std::chrono::milliseconds time_constant = std::chrono::milliseconds{5'000})
            : meter(time_constant)
        {
        }

        std::deque<queued_request> requests;
        token_count backlog = 0; ///< tokens of the waiting requests
        double deficit = 0;      ///< tokens left to it in this turn; negative: debt to be paid by later turns
        bool in_round = false;
        std::uint64_t left_round_at = 0; ///< value of `m_turns` then
        service_meter meter;
    };

    double weight_of(const customer_name& customer) const;
    /// Predicted wait of a request that has `ahead` tokens of its own customer before it.
    std::chrono::duration<double> predict_wait(const customer_name& customer, token_count ahead, double rate,
                                               time_point now) const;
    void advance(time_point now);
    void enter_round(const customer_name& customer, customer_queue& queue);
    double quantum_of(const customer_name& customer) const;
    void leave_round_if_empty(const customer_name& customer);
    error refusal(const customer_name& customer, std::chrono::duration<double> wait,
                  const std::string& reason) const;

    fair_queue_settings m_settings;
    std::map<customer_name, double> m_weights;
    std::map<customer_name, customer_queue> m_queues;
    std::deque<customer_name> m_round;
    std::deque<customer_name> m_new_customers; ///< served once each before the round
    std::uint64_t m_turns = 0;
    std::size_t m_size = 0;
    service_meter m_meter;
};

} // namespace cardamomstream
