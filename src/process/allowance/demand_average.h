/// Exponentially weighted average of one customer's demand at one VM.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cardamomstream {

class demand_average {
public:
    explicit demand_average(std::chrono::milliseconds window)
        : m_window(std::chrono::duration<double>(window).count())
    {
    }

    /// Counts an admitted request of `charge` tokens.
    void add(double charge, time_point now)
    {
        decay(now);
        m_rate += charge / m_window;
        m_mean_charge =
            m_mean_charge == 0 ? charge : m_mean_charge + mean_charge_weight * (charge - m_mean_charge);
    }

    /// Subtracts tokens that were charged and not used.
    void subtract(double unused, time_point now)
    {
        decay(now);
        m_rate = std::max(0.0, m_rate - unused / m_window);
    }

    token_rate rate(time_point now)
    {
        decay(now);
        return {m_rate};
    }

    /// Moving average of the charge of a request, in tokens.
    double mean_charge() const { return m_mean_charge; }

private:
    static constexpr double mean_charge_weight = 0.1;

    void decay(time_point now)
    {
        const double seconds = std::chrono::duration<double>(now - m_updated).count();
        m_updated = now;
        m_rate *= std::exp(-seconds / m_window);
    }

    double m_window;
    double m_rate = 0;
    double m_mean_charge = 0;
    time_point m_updated;
};

} // namespace cardamomstream
