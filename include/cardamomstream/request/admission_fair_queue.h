/// The queue of one pool: deficit round robin over customers, with deadlines. A customer that comes back
/// with nothing queued goes first once, so that few requests don't wait for the rounds of many.
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

/// A request given up while it waited, with its final answer.
struct expired_request {
    queued_request request;
    error answer;
};

/// Holds requests only as long as they can still be served in time: what can't be is refused at once,
/// with the time to come back. Not thread safe.
class fair_queue {
public:
    explicit fair_queue(fair_queue_settings settings);

    /// Weight of the customer's share of the service (`customer_rule::queue_weight`); 1 where not set.
    void set_weight(const customer_name& customer, double weight);

    /// Takes the request in. Error `overloaded` (not run, with `retry_after`) where the queue is full or
    /// the queue ahead and the observed service rate can't meet the deadline.
    result<void> push(queued_request request, time_point now);

    /// The next request by deficit round robin; nothing when empty. Call only when a slot is free.
    std::optional<queued_request> pop(time_point now);

    /// Undoes the last `pop`, where its request could not be sent after all: it keeps its place.
    void put_back(queued_request request);

    /// Takes out all requests that can't be served in time any more. Call often: they are answered at once.
    std::vector<expired_request> take_expired(time_point now);

    /// The caller left. False where the request does not wait here.
    bool remove(const request_id& id);

    /// Predicted wait of a new request of this customer; 0 while the service rate is not known.
    std::chrono::milliseconds predicted_wait(const customer_name& customer, time_point now) const;

    /// Observed service, in tokens a second of busy time; nothing while not known.
    std::optional<double> service_rate(time_point now) const;

    std::size_t size() const noexcept { return m_size; }
    bool empty() const noexcept { return m_size == 0; }

private:
    struct customer_queue {
        explicit customer_queue(std::chrono::milliseconds memory = std::chrono::milliseconds{5'000})
            : meter(memory)
        {
        }

        std::deque<queued_request> requests;
        token_count backlog = 0; ///< tokens that wait
        double deficit = 0;      ///< tokens it may still take in this turn; below 0: debt
        bool in_round = false;
        std::uint64_t left_at_turn = 0;
        service_meter meter;
    };

    double weight_of(const customer_name& customer) const;
    std::chrono::duration<double> wait_behind(const customer_name& customer, token_count ahead, double rate,
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
    std::deque<customer_name> m_fresh; ///< served before the round, once each
    std::uint64_t m_turns = 0;
    std::size_t m_size = 0;
    service_meter m_meter;
};

} // namespace cardamomstream
