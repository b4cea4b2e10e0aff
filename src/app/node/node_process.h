/// The gateway process of a VM whose deployment is published in a store that is only read.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/deployment/node_settings.h"

#include <memory>

namespace cardamomstream {

/// Owns the threads, listeners and state of the process.
class node_process {
public:
    explicit node_process(node_settings settings);
    ~node_process();
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;
    node_process(node_process&&) = delete;
    node_process& operator=(node_process&&) = delete;

    /// Errors: invalid_settings when an address can't be bound.
    result<void> start();

    /// Takes what may change of the settings while the process runs.
    void reload(const node_settings& settings);

    /// Stops gracefully: callers are sent elsewhere, requests that were read are answered. Returns when the
    /// process may end.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace cardamomstream
