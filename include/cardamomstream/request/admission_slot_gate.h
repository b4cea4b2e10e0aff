/// Free slots of one pool's upstreams as this VM may use them, and the dispatch of queued requests to them.
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

/// Where a queued request is to go.
enum class slot_action {
    serve,   ///< to `slot_choice::upstream`
    dequeue, ///< out of the queue without a slot: forwarded or refused by the host
    wait,    ///< nothing fit is free: it keeps its place
};

struct slot_choice {
    slot_action action = slot_action::wait;
    upstream_name upstream;
};

/// A request that left the queue.
struct dispatched_request {
    queued_request request;
    std::optional<upstream_name> upstream; ///< its slot is taken; nothing: the request goes elsewhere
};

/// Counts own requests in flight per upstream against its adaptive limit. Not thread safe.
class slot_gate {
public:
    explicit slot_gate(concurrency_limit_settings settings);

    /// The upstream takes new requests, up to `slots` at once and less where its latency shows queueing.
    /// Call again to change `slots`.
    void open(const upstream_name& upstream, std::uint32_t slots);
    /// The upstream takes nothing new; what runs there still counts until released.
    void close(const upstream_name& upstream);

    /// Takes a slot; false where none is free or the upstream is closed.
    bool try_acquire(const upstream_name& upstream);
    /// The request ended; frees its slot.
    void release(const upstream_name& upstream);

    /// Feedback for the limit (see `concurrency_limit`).
    void first_byte(const upstream_name& upstream, std::chrono::microseconds latency,
                    std::chrono::microseconds expected, time_point now);
    void dropped(const upstream_name& upstream);

    /// Requests that may be in flight there; 0 when closed.
    std::uint32_t limit(const upstream_name& upstream) const;
    std::uint32_t in_flight(const upstream_name& upstream) const;
    /// Free slots over all open upstreams.
    std::uint32_t free() const;

    /// Hands queued requests to free upstreams until either runs out. `pick(const queued_request&)` returns
    /// a `slot_choice`; a pick whose upstream has no free slot waits.
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
