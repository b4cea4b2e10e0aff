/// Reads the fields of one TOML table into typed values and refuses what it does not know.
#pragma once

#include "cardamomstream/version/toml_codec.h"
#include "cardamomstream/version/toml_document.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace cardamomstream {

/// Reader of one table. Read every field, then call `finish`: it returns the first error, or refuses a key
/// that no field asked for with the nearest one that did. After an error the remaining reads do nothing.
class toml_table_reader {
public:
    /// `path` is the dotted key of the table, empty for the document itself; errors are of `kind`. Where the
    /// document is part of a file, `first_line` is the line at which it starts there.
    toml_table_reader(const toml_value& table, std::string path, error_kind kind, std::size_t first_line = 1);

    /// Reads a field that must be present.
    template <toml_readable T>
    void required(std::string_view key, T& target)
    {
        if (const toml_value* value = find_required(key, toml_codec<T>::expected())) {
            assign(key, *value, target);
        }
    }

    /// Reads a field that must be present and at least `least`.
    template <toml_readable T>
    void required(std::string_view key, T& target, const std::type_identity_t<T>& least)
    {
        required(key, target);
        check_least(key, target < least, least_text(least));
    }

    /// Reads a field where it is present; leaves the default in `target` otherwise.
    template <toml_readable T>
    void optional(std::string_view key, T& target)
    {
        if (const toml_value* value = find(key)) {
            assign(key, *value, target);
        }
    }

    /// Reads a field where it is present, which must then be at least `least`.
    template <toml_readable T>
    void optional(std::string_view key, T& target, const std::type_identity_t<T>& least)
    {
        optional(key, target);
        check_least(key, target < least, least_text(least));
    }

    /// Reads a table inside this one that must be present; `read_fields` gets its reader.
    template <std::invocable<toml_table_reader&> F>
    void required_table(std::string_view key, F&& read_fields)
    {
        if (const toml_value* value = find_required(key, "a table")) {
            read_table(key, *value, std::forward<F>(read_fields));
        }
    }

    /// Reads a table inside this one where it is present.
    template <std::invocable<toml_table_reader&> F>
    void optional_table(std::string_view key, F&& read_fields)
    {
        if (const toml_value* value = find(key)) {
            read_table(key, *value, std::forward<F>(read_fields));
        }
    }

    /// The value of a key as it stands, or null; the key counts as known from then on.
    const toml_value* find(std::string_view key);

    /// Adds an error about a key, unless there is one already.
    void refuse(std::string_view key, const std::string& message, std::string remedy);

    /// The first error, or an error for a key that nobody asked for.
    result<void> finish();

private:
    template <toml_readable T>
    void assign(std::string_view key, const toml_value& value, T& target)
    {
        auto item = toml_codec<T>::read(value);
        if (!item) {
            refuse_value(key, toml_codec<T>::expected());
            return;
        }
        target = std::move(*item);
    }

    template <class F>
    void read_table(std::string_view key, const toml_value& value, F&& read_fields)
    {
        if (!value.is_table()) {
            refuse_value(key, "a table");
            return;
        }
        toml_table_reader inner{value, path_of(key), m_kind, m_first_line};
        std::forward<F>(read_fields)(inner);
        adopt(inner.finish());
    }

    static std::string least_text(double least);
    static std::string least_text(const token_rate& least) { return least_text(least.per_second); }
    static std::string least_text(std::chrono::milliseconds least);
    template <std::integral T>
    static std::string least_text(T least)
    {
        return std::to_string(least);
    }

    const toml_value* find_required(std::string_view key, const std::string& expected);
    void check_least(std::string_view key, bool is_less, const std::string& least);
    void refuse_value(std::string_view key, const std::string& expected);
    void adopt(result<void> inner);
    std::string path_of(std::string_view key) const;

    const toml_value* m_table;
    std::string m_path;
    error_kind m_kind;
    std::size_t m_first_line;
    std::vector<std::string> m_known_keys;
    std::optional<error> m_error;
};

} // namespace cardamomstream
