/// The traffic threads of a process.
#pragma once

#include "cardamomstream/connection/traffic_thread.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace cardamomstream {

/// Owns the traffic threads. Whatever runs on them holds plain references, since a thread cannot join itself.
class traffic_group {
public:
    explicit traffic_group(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_threads.push_back(std::make_unique<traffic_thread>());
        }
    }

    std::size_t size() const noexcept { return m_threads.size(); }
    traffic_thread& operator[](std::size_t index) { return *m_threads[index]; }
    traffic_thread& front() { return *m_threads.front(); }

private:
    std::vector<std::unique_ptr<traffic_thread>> m_threads;
};

} // namespace cardamomstream
