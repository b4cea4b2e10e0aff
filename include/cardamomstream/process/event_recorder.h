/// Appends events with the present time.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/process/event_log.h"

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomstream {

/// The event log of this process together with its clocks. Thread-safe.
class event_recorder {
public:
    explicit event_recorder(event_log& log)
        : m_log(log)
    {
    }

    event_ref record(event_kind kind, std::vector<event_field> fields = {})
    {
        return record(kind, {}, std::move(fields));
    }

    event_ref record(event_kind kind, const request_id& request, std::vector<event_field> fields,
                     std::optional<event_ref> cause = std::nullopt)
    {
        return m_log.append({kind, request, std::move(cause), std::move(fields)}, boot_clock::now(),
                            std::chrono::system_clock::now());
    }

private:
    event_log& m_log;
};

} // namespace cardamomstream
