/// Numbers in header values.
#pragma once

#include <algorithm>
#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>
#include <system_error>

namespace cardamomstream {

/// The number with which the text begins, after spaces; empty when it begins with none or one that does not
/// fit.
template <class Number>
std::optional<Number> leading_number(std::string_view text, int base = 10)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    Number number{};
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return failure == std::errc{} ? std::optional<Number>(number) : std::nullopt;
}

/// As `leading_number` for an integer in decimal, but one outside the bounds, of whatever length, counts as
/// the nearest bound.
template <std::integral Whole>
std::optional<Whole> clamped_leading_number(std::string_view text, Whole min, Whole max)
{
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    Whole number{};
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure == std::errc::result_out_of_range) {
        return text.front() == '-' ? min : max;
    }
    return failure == std::errc{} ? std::optional(std::clamp(number, min, max)) : std::nullopt;
}

} // namespace cardamomstream
