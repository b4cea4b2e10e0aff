/// How a TOML value becomes a value of a C++ type. `toml_codec<T>` may be specialised by any module.
#pragma once

#include "cardamomstream/core/core_types.h"
#include "cardamomstream/version/endpoint_text.h"
#include "cardamomstream/version/name_text.h"
#include "cardamomstream/version/toml_document.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <new>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomstream {

/// Reads a value of type T. A specialisation has two static members:
///   std::optional<T> read(const toml_value&)   empty when the value does not fit
///   std::string expected()                     what would fit, such as "true or false"
template <class T>
struct toml_codec;

/// A type that a TOML value can be read into.
template <class T>
concept toml_readable = requires(const toml_value& value)
{
    {
        toml_codec<T>::read(value)
        } -> std::same_as<std::optional<T>>;
    {
        toml_codec<T>::expected()
        } -> std::convertible_to<std::string>;
};

/// The words of an enumeration. A specialisation has `static constexpr std::array words`, an array of
/// `std::pair<std::string_view, T>`.
template <class T>
struct toml_words;

template <class T>
concept toml_enumeration = requires
{
    toml_words<T>::words;
};

/// Largest whole number and largest fraction that a document may hold; leaves room for sums.
inline constexpr std::int64_t max_toml_number = 1'000'000'000'000;

/// Longest duration that a document may hold.
inline constexpr std::chrono::milliseconds max_toml_duration = std::chrono::hours{7 * 24};

template <>
struct toml_codec<std::string> {
    static std::optional<std::string> read(const toml_value& value)
    {
        if (!value.is_string() || value.as_string(std::nothrow).str.empty()) {
            return std::nullopt;
        }
        return value.as_string(std::nothrow).str;
    }
    static std::string expected() { return "a text in quotes"; }
};

template <>
struct toml_codec<bool> {
    static std::optional<bool> read(const toml_value& value)
    {
        if (!value.is_boolean()) {
            return std::nullopt;
        }
        return value.as_boolean(std::nothrow);
    }
    static std::string expected() { return "true or false"; }
};

template <std::integral T>
struct toml_codec<T> {
    static constexpr std::int64_t largest = static_cast<std::int64_t>(
        std::min<std::uint64_t>(static_cast<std::uint64_t>(std::numeric_limits<T>::max()), max_toml_number));

    static std::optional<T> read(const toml_value& value)
    {
        if (!value.is_integer()) {
            return std::nullopt;
        }
        const std::int64_t number = value.as_integer(std::nothrow);
        if (number < 0 || number > largest) {
            return std::nullopt;
        }
        return static_cast<T>(number);
    }
    static std::string expected() { return "a whole number from 0 to " + std::to_string(largest); }
};

template <>
struct toml_codec<double> {
    static std::optional<double> read(const toml_value& value)
    {
        std::optional<double> number;
        if (value.is_integer()) {
            number = static_cast<double>(value.as_integer(std::nothrow));
        }
        if (value.is_floating()) {
            number = floating_of(value);
        }
        if (!number || !std::isfinite(*number) || *number < 0 ||
            *number > static_cast<double>(max_toml_number)) {
            return std::nullopt;
        }
        return number;
    }
    static std::string expected() { return "a number from 0 to " + std::to_string(max_toml_number); }
};

template <>
struct toml_codec<token_rate> {
    static std::optional<token_rate> read(const toml_value& value)
    {
        const auto number = toml_codec<double>::read(value);
        if (!number) {
            return std::nullopt;
        }
        return token_rate{*number};
    }
    static std::string expected() { return toml_codec<double>::expected(); }
};

template <>
struct toml_codec<std::chrono::milliseconds> {
    static std::optional<std::chrono::milliseconds> read(const toml_value& value)
    {
        if (!value.is_integer()) {
            return std::nullopt;
        }
        const std::int64_t number = value.as_integer(std::nothrow);
        if (number < 1 || number > max_toml_duration.count()) {
            return std::nullopt;
        }
        return std::chrono::milliseconds{number};
    }
    static std::string expected()
    {
        return "a whole number of milliseconds from 1 to " + std::to_string(max_toml_duration.count());
    }
};

template <class Tag>
struct toml_codec<name<Tag>> {
    static std::optional<name<Tag>> read(const toml_value& value)
    {
        if (!value.is_string() || !is_valid_name(value.as_string(std::nothrow).str)) {
            return std::nullopt;
        }
        return name<Tag>{value.as_string(std::nothrow).str};
    }
    static std::string expected()
    {
        return "a name in quotes, of at most " + std::to_string(max_name_length) +
               " letters, digits, '.', '_', '-', '/' or ':'";
    }
};

template <>
struct toml_codec<endpoint> {
    static std::optional<endpoint> read(const toml_value& value)
    {
        if (!value.is_string()) {
            return std::nullopt;
        }
        return parse_endpoint(value.as_string(std::nothrow).str);
    }
    static std::string expected() { return "an IP number with a port, such as \"127.0.0.1:7101\""; }
};

template <toml_enumeration T>
struct toml_codec<T> {
    static std::optional<T> read(const toml_value& value)
    {
        if (!value.is_string()) {
            return std::nullopt;
        }
        for (const auto& [word, meaning] : toml_words<T>::words) {
            if (word == value.as_string(std::nothrow).str) {
                return meaning;
            }
        }
        return std::nullopt;
    }
    static std::string expected()
    {
        std::string text = "one of";
        for (const auto& [word, meaning] : toml_words<T>::words) {
            text += " \"" + std::string{word} + "\"";
        }
        return text;
    }
};

/// A value that may be absent; where it is present it is read as T.
template <toml_readable T>
struct toml_codec<std::optional<T>> {
    static std::optional<std::optional<T>> read(const toml_value& value)
    {
        auto item = toml_codec<T>::read(value);
        if (!item) {
            return std::nullopt;
        }
        return std::optional<std::optional<T>>{std::move(item)};
    }
    static std::string expected() { return toml_codec<T>::expected(); }
};

/// A list with at least one item, none of them twice.
template <toml_readable T>
struct toml_codec<std::vector<T>> {
    static std::optional<std::vector<T>> read(const toml_value& value)
    {
        if (!value.is_array() || value.as_array(std::nothrow).empty()) {
            return std::nullopt;
        }
        std::vector<T> items;
        for (const auto& element : value.as_array(std::nothrow)) {
            auto item = toml_codec<T>::read(element);
            if (!item || std::find(items.begin(), items.end(), *item) != items.end()) {
                return std::nullopt;
            }
            items.push_back(std::move(*item));
        }
        return items;
    }
    static std::string expected()
    {
        return "a list with at least one item and none twice, each item " + toml_codec<T>::expected();
    }
};

template <toml_readable T>
struct toml_codec<std::set<T>> {
    static std::optional<std::set<T>> read(const toml_value& value)
    {
        auto items = toml_codec<std::vector<T>>::read(value);
        if (!items) {
            return std::nullopt;
        }
        return std::set<T>(items->begin(), items->end());
    }
    static std::string expected() { return toml_codec<std::vector<T>>::expected(); }
};

/// A table from names to values.
template <class Tag, toml_readable T>
struct toml_codec<std::map<name<Tag>, T>> {
    static std::optional<std::map<name<Tag>, T>> read(const toml_value& value)
    {
        if (!value.is_table()) {
            return std::nullopt;
        }
        std::map<name<Tag>, T> items;
        for (const auto& [key, element] : value.as_table(std::nothrow)) {
            auto item = toml_codec<T>::read(element);
            if (!item || !is_valid_name(key)) {
                return std::nullopt;
            }
            items.emplace(name<Tag>{key}, std::move(*item));
        }
        return items;
    }
    static std::string expected()
    {
        return "a table { name = value }, each value " + toml_codec<T>::expected();
    }
};

} // namespace cardamomstream
