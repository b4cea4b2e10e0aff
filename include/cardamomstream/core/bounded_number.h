/// Checked conversion of numbers that another process wrote.
#pragma once

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace cardamomstream {

/// Bounds of what other processes state. Sums of many such values, and time points that lie a duration
/// ahead, are far from overflowing.
inline constexpr std::chrono::milliseconds max_stated_duration = std::chrono::hours{24};
inline constexpr std::int64_t max_stated_count = 1'000'000'000;
inline constexpr std::int64_t max_stated_tokens = 1'000'000'000;
inline constexpr double max_stated_rate = 1e12; ///< per second

/// The number itself; empty when it lies outside, or is not a number.
inline std::optional<double> within(double number, double min, double max)
{
    return number >= min && number <= max ? std::optional(number) : std::nullopt;
}

/// The number as an integer; empty when it isn't whole, lies outside, or is too large for a double to be
/// exact.
template <std::integral Whole>
std::optional<Whole> whole_within(double number, Whole min, Whole max)
{
    constexpr std::int64_t max_exact = std::int64_t{1} << std::numeric_limits<double>::digits;
    if (!within(number, static_cast<double>(-max_exact), static_cast<double>(max_exact)) ||
        std::trunc(number) != number) {
        return std::nullopt;
    }
    const auto whole = static_cast<std::int64_t>(number);
    return std::cmp_greater_equal(whole, min) && std::cmp_less_equal(whole, max)
               ? std::optional(static_cast<Whole>(whole))
               : std::nullopt;
}

/// Whole milliseconds, rounded down; empty when negative or beyond `max`.
inline std::optional<std::chrono::milliseconds>
milliseconds_within(double milliseconds, std::chrono::milliseconds max = max_stated_duration)
{
    const auto bounded = within(milliseconds, 0, static_cast<double>(max.count()));
    return bounded ? std::optional(std::chrono::milliseconds(static_cast<std::int64_t>(*bounded)))
                   : std::nullopt;
}

} // namespace cardamomstream
