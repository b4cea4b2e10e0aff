#include "fleet_model.h"

#include <algorithm>
#include <utility>

namespace cardamomstream::bench {

void virtual_time::after(seconds delay, std::function<void()> action)
{
    m_actions.emplace(m_now + std::chrono::duration_cast<boot_clock::duration>(delay), std::move(action));
}

void virtual_time::run_until(time_point end)
{
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        auto next = m_actions.extract(m_actions.begin());
        m_now = next.key();
        next.mapped()();
    }
}

worker_model::worker_model(virtual_time& time, worker_shape shape)
    : m_time(time)
    , m_shape(shape)
{
}

std::uint64_t worker_model::submit(const call& request, attempt_events events)
{
    if (!m_alive) {
        m_time.after(seconds{0.001}, std::move(events.failed));
        return m_next_id++;
    }
    const auto id = m_next_id++;
    m_waiting.push_back({id, request, std::move(events), {}});
    start_waiting();
    return id;
}

void worker_model::cancel(std::uint64_t id)
{
    if (auto node = m_running.extract(id)) {
        add_token_seconds(node.mapped());
    }
    std::erase_if(m_waiting, [id](const job& each) { return each.id == id; });
    start_waiting();
}

void worker_model::stall(seconds duration)
{
    m_prefill_free =
        std::max(m_prefill_free, m_time.now()) + std::chrono::duration_cast<boot_clock::duration>(duration);
}

void worker_model::fail()
{
    m_alive = false;
    m_cache.clear();
    m_prefill_free = m_time.now();
    auto running = std::exchange(m_running, {});
    auto waiting = std::exchange(m_waiting, {});
    for (auto& [id, lost] : running) {
        add_token_seconds(lost);
        m_time.after(seconds{0.001}, std::move(lost.events.failed));
    }
    for (auto& lost : waiting) {
        m_time.after(seconds{0.001}, std::move(lost.events.failed));
    }
}

void worker_model::start_waiting()
{
    while (!m_waiting.empty() && m_running.size() < m_shape.slots) {
        job next = std::move(m_waiting.front());
        m_waiting.pop_front();
        const bool cached = use_cache(next.request.digest);
        const token_count uncached = next.request.prompt - (cached ? next.request.prefix : 0);
        const auto now = m_time.now();
        const seconds prefill{static_cast<double>(uncached) / m_shape.prefill_rate};
        m_prefill_free =
            std::max(m_prefill_free, now) + std::chrono::duration_cast<boot_clock::duration>(prefill);
        const seconds time_to_first = m_prefill_free - now;
        const seconds slot_time =
            time_to_first + static_cast<double>(next.request.answer) * m_shape.token_gap;
        const auto id = next.id;
        next.started = now;
        m_running.emplace(id, std::move(next));
        m_time.after(time_to_first, [this, id] {
            if (const auto found = m_running.find(id); found != m_running.end()) {
                found->second.events.first_token();
            }
        });
        m_time.after(slot_time, [this, id] { end(id); });
    }
}

bool worker_model::use_cache(std::uint64_t digest)
{
    const auto found = std::find(m_cache.begin(), m_cache.end(), digest);
    const bool cached = found != m_cache.end();
    if (cached) {
        m_cache.erase(found);
    }
    m_cache.push_front(digest);
    if (m_cache.size() > m_shape.cached_prefixes) {
        m_cache.pop_back();
    }
    return cached;
}

void worker_model::add_token_seconds(const job& ended)
{
    const seconds slot_time = m_time.now() - ended.started;
    m_token_seconds += static_cast<double>(ended.request.prompt + ended.request.answer) * slot_time.count();
}

void worker_model::end(std::uint64_t id)
{
    auto node = m_running.extract(id);
    if (node.empty()) {
        return;
    }
    add_token_seconds(node.mapped());
    node.mapped().events.finished();
    start_waiting();
}

} // namespace cardamomstream::bench
