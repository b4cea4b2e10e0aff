/// The gateway process of one VM: builds the parts and connects them.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/settings_types.h"

#include <functional>
#include <memory>

namespace cardamomstream {

class gateway_process {
public:
    /// Errors: invalid_settings, when a credential or certificate cannot be read.
    static result<std::unique_ptr<gateway_process>> create(const settings& config);
    ~gateway_process();
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    gateway_process(gateway_process&&) = delete;
    gateway_process& operator=(gateway_process&&) = delete;

    /// Binds the listeners and starts to serve. Errors: invalid_settings, when an address cannot be bound.
    result<void> start();

    /// Begins the graceful shutdown; `stopped` is called when the process may exit.
    void stop(std::function<void()> stopped);

private:
    class impl;
    explicit gateway_process(std::unique_ptr<impl> parts);

    std::unique_ptr<impl> m_impl;
};

} // namespace cardamomstream
