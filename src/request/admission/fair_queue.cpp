#include "cardamomstream/request/admission_fair_queue.h"

#include <algorithm>

namespace cardamomstream {

namespace {

using seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds min_retry_after{100};
constexpr std::chrono::milliseconds max_retry_after{60'000};
constexpr std::chrono::milliseconds full_queue_retry_after{1'000}; // while the service rate is unknown
constexpr double min_weight = 0.01;
constexpr double prediction_error_factor = 1.25; // allowed error of the wait predicted for queued requests

std::chrono::milliseconds retry_time(seconds value)
{
    const auto max_wait = std::chrono::duration_cast<seconds>(max_retry_after);
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(std::min(value, max_wait));
    return std::max(rounded, min_retry_after);
}

} // namespace

fair_queue::fair_queue(fair_queue_settings settings)
    : m_settings(settings)
    , m_meter(settings.rate_time_constant)
{
}

void fair_queue::set_weight(const customer_name& customer, double weight)
{
    m_weights[customer] = std::max(weight, min_weight);
}

result<void> fair_queue::push(queued_request request, time_point now)
{
    advance(now);
    request.cost = std::max<token_count>(1, request.cost);
    auto& queue =
        m_queues.try_emplace(request.customer, customer_queue{m_settings.rate_time_constant}).first->second;
    const auto rate = service_rate(now);
    const seconds wait = rate ? predict_wait(request.customer, queue.backlog, *rate, now) : seconds{0};
    if (m_size >= m_settings.max_requests || queue.requests.size() >= m_settings.max_requests_per_customer) {
        return refusal(request.customer, rate ? wait : seconds{full_queue_retry_after}, "the queue is full");
    }
    const seconds left = request.deadline - now;
    if (left < wait || left < seconds{0}) {
        return refusal(request.customer, wait - left,
                       "the queue ahead does not leave time before the deadline");
    }
    enter_round(request.customer, queue);
    queue.backlog += request.cost;
    queue.requests.push_back(std::move(request));
    ++m_size;
    return boost::outcome_v2::success();
}

std::optional<queued_request> fair_queue::pop(time_point now)
{
    advance(now);
    while (!empty()) {
        auto& round = m_new_customers.empty() ? m_round : m_new_customers;
        const customer_name customer = round.front();
        auto& queue = m_queues[customer];
        if (queue.deficit <= 0) {
            queue.deficit += quantum_of(customer);
            round.pop_front();
            m_round.push_back(customer);
            ++m_turns;
            continue;
        }
        queued_request request = std::move(queue.requests.front());
        queue.requests.pop_front();
        queue.deficit -= static_cast<double>(request.cost);
        queue.backlog -= request.cost;
        queue.meter.served(static_cast<double>(request.cost));
        m_meter.served(static_cast<double>(request.cost));
        --m_size;
        leave_round_if_empty(customer);
        return request;
    }
    return std::nullopt;
}

void fair_queue::put_back(queued_request request)
{
    const customer_name customer = request.customer;
    auto& queue = m_queues[customer];
    queue.deficit += static_cast<double>(request.cost);
    if (!queue.in_round) {
        queue.in_round = true;
        m_new_customers.push_front(customer);
    }
    queue.backlog += request.cost;
    queue.meter.undo_served(static_cast<double>(request.cost));
    m_meter.undo_served(static_cast<double>(request.cost));
    queue.requests.push_front(std::move(request));
    ++m_size;
}

std::vector<expired_request> fair_queue::take_expired(time_point now)
{
    advance(now);
    std::vector<expired_request> expired;
    const auto rate = service_rate(now);
    for (auto& [customer, queue] : m_queues) {
        token_count ahead = 0;
        std::deque<queued_request> kept;
        for (auto& request : queue.requests) {
            const seconds left = request.deadline - now;
            const seconds wait =
                rate ? predict_wait(customer, ahead, *rate, now) / prediction_error_factor : seconds{0};
            if (left >= wait && left >= seconds{0}) {
                ahead += request.cost;
                kept.push_back(std::move(request));
                continue;
            }
            const auto retry_after = std::max(wait - left, wait);
            expired.push_back({std::move(request), refusal(customer, retry_after,
                                                           "the queue moved too slowly for the deadline")});
        }
        m_size -= queue.requests.size() - kept.size();
        queue.requests = std::move(kept);
        queue.backlog = ahead;
        leave_round_if_empty(customer);
    }
    return expired;
}

bool fair_queue::remove(const request_id& id)
{
    for (auto& [customer, queue] : m_queues) {
        const auto found = std::find_if(queue.requests.begin(), queue.requests.end(),
                                        [&](const queued_request& each) { return each.id == id; });
        if (found == queue.requests.end()) {
            continue;
        }
        queue.backlog -= found->cost;
        queue.requests.erase(found);
        --m_size;
        leave_round_if_empty(customer);
        return true;
    }
    return false;
}

std::chrono::milliseconds fair_queue::predicted_wait(const customer_name& customer, time_point now) const
{
    const auto rate = service_rate(now);
    if (!rate || m_size == 0) {
        return std::chrono::milliseconds{0};
    }
    const auto found = m_queues.find(customer);
    const token_count ahead = found == m_queues.end() ? 0 : found->second.backlog;
    return std::chrono::ceil<std::chrono::milliseconds>(predict_wait(customer, ahead, *rate, now));
}

std::optional<double> fair_queue::service_rate(time_point now) const
{
    return m_meter.rate(m_settings.min_observation, !empty(), now);
}

double fair_queue::weight_of(const customer_name& customer) const
{
    const auto found = m_weights.find(customer);
    return found == m_weights.end() ? 1 : found->second;
}

// While the customer's own backlog drains, every other customer is served at most its share by weight and at
// most its own backlog. Requests that others add in the meantime are covered by the customer's own service
// rate.
std::chrono::duration<double> fair_queue::predict_wait(const customer_name& customer, token_count ahead,
                                                       double rate, time_point now) const
{
    const double own_weight = weight_of(customer);
    const auto own_tokens = static_cast<double>(ahead);
    double tokens_ahead = own_tokens;
    double total_weight = own_weight;
    for (const auto& [other, queue] : m_queues) {
        if (other == customer) {
            continue;
        }
        const auto one_round = static_cast<double>(std::min(m_settings.quantum, queue.backlog));
        const double max_share = std::max(one_round, own_tokens * weight_of(other) / own_weight);
        tokens_ahead += std::min(static_cast<double>(queue.backlog), max_share);
        total_weight += weight_of(other);
    }
    const seconds by_total_rate{tokens_ahead / rate};
    const auto found = m_queues.find(customer);
    if (found == m_queues.end()) {
        return by_total_rate;
    }
    const bool waiting = !found->second.requests.empty();
    const auto own_rate = found->second.meter.rate(m_settings.min_observation, waiting, now);
    const double fair_rate = rate * own_weight / total_weight;
    return own_rate ? std::max(by_total_rate, seconds{own_tokens / std::max(*own_rate, fair_rate)})
                    : by_total_rate;
}

void fair_queue::advance(time_point now)
{
    m_meter.advance(!empty(), now);
    for (auto& [customer, queue] : m_queues) {
        queue.meter.advance(!queue.requests.empty(), now);
    }
}

// A customer without debt is served before the round, for one quantum. Tokens beyond the quantum become debt,
// which every later round reduces by one quantum, including rounds in which the customer has nothing queued.
void fair_queue::enter_round(const customer_name& customer, customer_queue& queue)
{
    if (queue.in_round) {
        return;
    }
    queue.in_round = true;
    const double quantum = quantum_of(customer);
    const auto turns = static_cast<double>(m_turns - queue.left_round_at);
    const double rounds = turns / static_cast<double>(std::max<std::size_t>(1, m_round.size()));
    queue.deficit = empty() ? 0 : std::min(0.0, queue.deficit + rounds * quantum);
    if (queue.deficit < 0) {
        m_round.push_back(customer);
        return;
    }
    queue.deficit = quantum;
    m_new_customers.push_back(customer);
}

void fair_queue::leave_round_if_empty(const customer_name& customer)
{
    auto& queue = m_queues[customer];
    if (!queue.requests.empty() || !queue.in_round) {
        return;
    }
    queue.in_round = false;
    queue.left_round_at = m_turns;
    std::erase(m_round, customer);
    std::erase(m_new_customers, customer);
}

double fair_queue::quantum_of(const customer_name& customer) const
{
    return static_cast<double>(m_settings.quantum) * weight_of(customer);
}

error fair_queue::refusal(const customer_name& customer, std::chrono::duration<double> wait,
                          const std::string& reason) const
{
    error refused;
    refused.kind = error_kind::overloaded;
    refused.message = "request of customer \"" + customer.str() + "\" refused: " + reason;
    refused.remedy = "send it again after the time given";
    refused.outcome = run_outcome::not_run;
    refused.retry_after = retry_time(wait);
    return refused;
}

} // namespace cardamomstream
