/// One structured line for each decision, within a bounded volume.
#pragma once

#include "cardamomstream/core/boot_clock.h"
#include "cardamomstream/core/core_types.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace cardamomstream {

/// A named input or outcome of a decision.
struct log_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double> value;
};

/// Failures are written before ordinary ends, of which only a sample is.
enum class log_weight { ordinary, failure, state };

struct decision_log_limits {
    double failures_per_second = 30; ///< lines on single requests; beyond it they are counted
    double ordinary_per_second = 2;  ///< lines on requests that ended well
    double states_per_second = 30;   ///< lines on what the process believes
    double burst_seconds = 4;
};

/// Writes JSON lines through spdlog's default logger. Thread safe; never waits for the reader of the log.
class decision_log {
public:
    explicit decision_log(decision_log_limits limits = {});

    void write(log_weight weight, std::string_view event, std::initializer_list<log_field> fields);

    /// Lines left out since the start because of the limits.
    std::uint64_t left_out() const noexcept { return m_left_out; }

private:
    struct budget {
        double per_second = 0;
        double level = 0;
    };

    bool admit(log_weight weight);

    std::mutex m_mutex;
    std::array<budget, 3> m_budgets;
    double m_burst_seconds;
    time_point m_filled_at;
    std::atomic<std::uint64_t> m_left_out = 0;
};

} // namespace cardamomstream
