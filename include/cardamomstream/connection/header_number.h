/// Numbers in header values.
#pragma once

#include <charconv>
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

} // namespace cardamomstream
