/// Slots of one pool's upstreams that this VM may use, and the dispatch of queued requests to them.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/request/admission_concurrency_limit.h"
#include "cardamomstream/request/admission_fair_queue.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomstream {

/// What to do with a queued request.
enum class slot_action {
    serve,   ///< send it to `slot_choice::upstream`
    dequeue, ///< remove it without taking a slot: the caller of `dispatch` forwards or refuses it
    wait,    ///< no eligible slot is free: it keeps its position
};

struct slot_choice {
    slot_action action = slot_action::wait;
    upstream_name upstream;
};

/// A request that left the queue.
struct dispatched_request {
    queued_request request;
    std::optional<upstream_name> upstream; ///< whose slot it holds; empty if it was removed without a slot
};

/// Counts this VM's requests in flight per upstream and holds them below its adaptive limit. Not thread safe.
class slot_gate {
public:
    explicit slot_gate(concurrency_limit_settings settings);

    /// Allows new requests to the upstream, up to `slots` in flight, and fewer if its latency shows queueing.
    /// Call again to change `slots`.
    void open(const upstream_name& upstream, std::uint32_t slots);
    /// Allows no new requests to the upstream. Running ones still count until released.
    void close(const upstream_name& upstream);

    /// Takes a slot. Returns false if none is free or the upstream is closed.
    bool try_acquire(const upstream_name& upstream);
    /// Frees the slot of a request that ended.
    void release(const upstream_name& upstream);

    /// Updates the limit (see `concurrency_limit`).
    void first_byte(const upstream_name& upstream, std::chrono::microseconds latency,
                    std::chrono::microseconds expected, time_point now);
    void dropped(const upstream_name& upstream);

    /// Requests that may be in flight at the upstream; 0 if it is closed.
    std::uint32_t limit(const upstream_name& upstream) const;
    std::uint32_t in_flight(const upstream_name& upstream) const;
    /// Free slots of all open upstreams.
    std::uint32_t free() const;

    /// Dispatches queued requests until the queue is empty, no slot is free or a request has to wait.
    /// `pick(const queued_request&)` returns a `slot_choice`; a request whose upstream has no free slot
    /// waits.
    template <class Pick>
    std::vector<dispatched_request> dispatch(fair_queue& queue, time_point now, Pick&& pick)
    {
        std::vector<dispatched_request> sent;
        while (free() > 0) {
            auto request = queue.pop(now);
            if (!request) {
                break;
            }
            const slot_choice picked = pick(std::as_const(*request));
            if (picked.action == slot_action::dequeue) {
                sent.push_back({std::move(*request), std::nullopt});
                continue;
            }
            if (picked.action == slot_action::wait || !try_acquire(picked.upstream)) {
                queue.put_back(std::move(*request));
                break;
            }
            sent.push_back({std::move(*request), picked.upstream});
        }
        return sent;
    }

private:
    struct upstream_slots {
        concurrency_limit limit;
        std::uint32_t slots = 1;
        std::uint32_t in_flight = 0;
        bool open = true;

        std::uint32_t usable() const { return open ? std::min(slots, limit.value()) : 0; }
    };

    concurrency_limit_settings m_settings;
    std::map<upstream_name, upstream_slots> m_upstreams;
};

} // namespace cardamomstream
