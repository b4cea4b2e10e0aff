/// Simulated fleet in virtual time: workers with slots, a prefill queue and a bounded prefix cache.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <vector>

namespace cardamomstream::bench {

using seconds = std::chrono::duration<double>;

/// Event queue that runs actions in order of time.
class virtual_time {
public:
    time_point now() const noexcept { return m_now; }
    void after(seconds delay, std::function<void()> action);
    void run_until(time_point end);

private:
    time_point m_now{};
    std::multimap<time_point, std::function<void()>> m_actions;
};

/// One simulated request, with the data for the report.
struct call {
    std::size_t customer = 0;
    std::size_t home = 0;
    time_point arrived;
    token_count prompt = 0;
    token_count prefix = 0;
    std::uint64_t digest = 0;
    token_count answer = 0;
    bool home_only = false; ///< its residency permits the home region only
    bool forwarded = false;
    int attempts = 0;
};

/// Callbacks of a worker for one attempt.
struct attempt_events {
    std::function<void()> first_token;
    std::function<void()> finished;
    std::function<void()> failed;
};

struct worker_shape {
    std::size_t region = 0;
    std::uint32_t slots = 8;
    double prefill_rate = 8'000; ///< tokens per second
    seconds token_gap{0.03};
    std::size_t cached_prefixes = 24;
};

class worker_model {
public:
    worker_model(virtual_time& time, worker_shape shape);

    const worker_shape& shape() const noexcept { return m_shape; }
    bool alive() const noexcept { return m_alive; }
    std::size_t in_flight() const noexcept { return m_running.size() + m_waiting.size(); }
    double token_seconds() const noexcept { return m_token_seconds; }

    std::uint64_t submit(const call& request, attempt_events events);
    /// Cancels a call and frees its slot.
    void cancel(std::uint64_t id);
    /// Pauses prefill for this long.
    void stall(seconds duration);
    /// Fails all calls and clears the cache. Submitted calls fail until `recover`.
    void fail();
    void recover() { m_alive = true; }

private:
    struct job {
        std::uint64_t id = 0;
        call request;
        attempt_events events;
        time_point started;
    };

    void start_waiting();
    bool use_cache(std::uint64_t digest);
    void add_token_seconds(const job& ended);
    void end(std::uint64_t id);

    virtual_time& m_time;
    worker_shape m_shape;
    bool m_alive = true;
    std::uint64_t m_next_id = 0;
    std::deque<job> m_waiting;
    std::map<std::uint64_t, job> m_running;
    time_point m_prefill_free;
    std::list<std::uint64_t> m_cache; ///< most recently used first
    double m_token_seconds = 0;
};

} // namespace cardamomstream::bench
